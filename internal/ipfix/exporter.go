package ipfix

import (
	"errors"
	"log/slog"
	"time"

	"functionrouter/internal/eventloop"
)

const (
	// flushInterval is the time between two sends of the pending records. Records of one interval share messages.
	flushInterval = time.Second

	// redialDelay is the time from the failure of a dial or of the socket to the next dial, counted from the last call of
	// Process before the failure.
	redialDelay = 5 * time.Second

	// maxPendingRecords bounds the records that wait for a send. Those beyond it are dropped and counted.
	maxPendingRecords = 1024

	// templateInterval is the minimum time between two messages with the templates on one socket; the templates go with
	// records alone. UDP may lose them, and collectors forget templates after a while (RFC 7011 section 8.4).
	templateInterval = time.Minute
)

// errConnectionClosed is logged for a socket that was closed without an error.
var errConnectionClosed = errors.New("connection closed")

// Transport is a UDP socket that is connected to the collector. A *eventloop.UDPConn is one.
type Transport interface {
	// Write sends each of bufs as one datagram, which may be lost. They belong to the Transport from then on. It does not
	// call the handler before it returns.
	Write(bufs ...[]byte)
}

// Counters counts records by what was done with them, and messages. What was sent may still be lost.
type Counters struct {
	Records  uint64 // added; each is Sent, Dropped or pending
	Sent     uint64
	Dropped  uint64 // at the limit on pending records, or without a template for their addresses
	Messages uint64 // datagrams sent
}

// Exporter gathers flow records and sends them to a collector. It opens a socket, and another one after redialDelay if that
// fails. It is the event loop's handler of the socket.
type Exporter struct {
	// Counters may be read on the event loop's goroutine.
	Counters Counters

	collector string // address, for the log
	dial      func(h eventloop.DialHandler) Transport
	wallClock func() time.Time
	encoder   messageEncoder
	pending   []record // the earliest first

	transport Transport // nil between a failure and the next dial
	connected bool      // the dial of transport has succeeded

	// Times on the event loop's clock.
	now           time.Duration // at the last Process
	nextDial      time.Duration // the earliest, while transport is nil
	nextFlush     time.Duration // the earliest
	nextTemplates time.Duration // the earliest; 0 after each successful dial
}

// New returns an Exporter to the collector of c; c.Enabled has no meaning here. wallClock gives the export time of messages.
//
// dial opens a socket to c.Collector. It reports to h on the event loop's goroutine, and only after it has returned:
// otherwise the Exporter loses the report. A dial whose end is not reported is never repeated.
func New(c *Config, wallClock func() time.Time, dial func(h eventloop.DialHandler) Transport) *Exporter {
	return &Exporter{
		collector: c.Collector,
		dial:      dial,
		wallClock: wallClock,
		encoder:   messageEncoder{domain: c.Domain},
	}
}

// Add encodes the record of a flow and queues it for the next send, or drops and counts it.
func (x *Exporter) Add(f Flow) {
	x.Counters.Records++
	if len(x.pending) >= maxPendingRecords {
		x.Counters.Dropped++
		return
	}
	r, valid := newRecord(f)
	if !valid {
		x.Counters.Dropped++
		return
	}
	x.pending = append(x.pending, r)
}

// Process opens the socket or sends the pending records, if it is due. now is the event loop's clock. It returns when it
// must be called again at the latest. It must also be called after OnOpen and OnClose; the program calls it in each turn of
// the event loop.
func (x *Exporter) Process(now time.Duration) time.Duration {
	x.now = now
	if x.transport == nil {
		if now < x.nextDial {
			return x.nextDial
		}
		x.nextDial = now + redialDelay
		x.transport = x.dial(x)
	}
	if !x.connected {
		return x.nextDial
	}
	if now < x.nextFlush {
		return x.nextFlush
	}
	x.nextFlush = now + flushInterval
	for len(x.pending) > 0 { // it ends since each message takes a record at least: see maxMessageBytes
		x.sendMessage()
	}
	return x.nextFlush
}

// sendMessage sends one message with as many of the pending records as fit, and with the templates if they are due.
func (x *Exporter) sendMessage() {
	withTemplates := x.nextTemplates <= x.now
	if withTemplates {
		x.nextTemplates = x.now + templateInterval
	}
	message, count := x.encoder.encode(x.wallClock(), withTemplates, x.pending)
	x.pending = append(x.pending[:0], x.pending[count:]...)
	x.Counters.Sent += uint64(count)
	x.Counters.Messages++
	x.transport.Write(message)
}

// OnOpen handles the end of a dial. The first message on a new socket has the templates: its collector may not know them.
// A dial that failed is handled, and logged, as the loss of the socket.
func (x *Exporter) OnOpen(err error) {
	if err != nil {
		x.OnClose(err)
		return
	}
	x.connected = true
	x.nextTemplates = 0
}

// OnData ignores what a collector sends: IPFIX over UDP is one-way.
func (x *Exporter) OnData([]byte) {}

// OnClose schedules the next dial. A collector that does not listen is noticed in this way, by ICMP.
func (x *Exporter) OnClose(err error) {
	if err == nil {
		err = errConnectionClosed
	}
	slog.Warn("flow collector connection lost", "address", x.collector, "error", err)
	x.transport = nil
	x.connected = false
	x.nextDial = x.now + redialDelay
}
