package ipfix

import (
	"errors"
	"log/slog"
	"time"

	"functionrouter/internal/eventloop"
)

const (
	// flushInterval is the minimum time between two sends of the pending records. Records of one interval share
	// messages.
	flushInterval = time.Second

	// redialDelay is the time from the failure of a dial or of a socket to the next dial. It starts at the last call of
	// Process before the failure.
	redialDelay = 5 * time.Second

	// maxPendingRecords limits the number of records that wait to be sent. Further records are dropped and counted.
	maxPendingRecords = 1024

	// templateInterval is the minimum time between two messages with the templates on one socket. Templates are sent
	// only in messages that contain records. They are repeated because UDP may lose them and because collectors discard
	// templates after a while (RFC 7011 section 8.4).
	templateInterval = time.Minute
)

// errConnectionClosed is logged when the socket is closed without an error.
var errConnectionClosed = errors.New("connection closed")

// Transport is a UDP socket that is connected to the collector. *eventloop.UDPConn implements it.
type Transport interface {
	// Write sends each of bufs as one datagram, which may be lost. The bufs belong to the Transport from then on. Write
	// does not call the handler before it returns.
	Write(bufs ...[]byte)
}

// Counters counts records by their outcome, and messages. UDP may lose records and messages that were sent.
type Counters struct {
	Records  uint64 // records passed to Add; each is sent, dropped or pending
	Sent     uint64 // records sent
	Dropped  uint64 // records dropped at maxPendingRecords, or because no template fits their addresses
	Messages uint64 // datagrams sent
}

// Exporter queues flow records and sends them to a collector. If its socket fails, it opens another one after
// redialDelay. It is the event loop's handler of the socket.
type Exporter struct {
	// Counters may be read only on the event loop's goroutine.
	Counters Counters

	collector string // address, for the log
	dial      func(h eventloop.DialHandler) Transport
	wallClock func() time.Time
	encoder   messageEncoder
	pending   []record // oldest first

	transport Transport // nil between a failure and the next dial
	connected bool      // whether the dial of transport has succeeded

	// Times on the event loop's clock.
	now           time.Duration // of the last call of Process
	nextDial      time.Duration // earliest time of the next dial
	nextFlush     time.Duration // earliest time of the next send
	nextTemplates time.Duration // earliest time of the next templates; 0 after each successful dial
}

// New returns an Exporter that sends to c.Collector. It ignores c.Enabled. wallClock returns the export time of
// messages.
//
// dial opens a socket to c.Collector and reports the result to h. The report must be made on the event loop's goroutine
// and only after dial has returned, because an earlier report may be lost. If the result is not reported, the Exporter
// never dials again.
func New(c *Config, wallClock func() time.Time, dial func(h eventloop.DialHandler) Transport) *Exporter {
	return &Exporter{
		collector: c.Collector,
		dial:      dial,
		wallClock: wallClock,
		encoder:   messageEncoder{domain: c.Domain},
	}
}

// Add encodes the record of a flow and queues it for the next send. If the queue is full, or if no template fits the
// addresses of the flow, Add drops the record and counts it.
func (e *Exporter) Add(f Flow) {
	e.Counters.Records++
	if len(e.pending) >= maxPendingRecords {
		e.Counters.Dropped++
		return
	}
	r, valid := newRecord(f)
	if !valid {
		e.Counters.Dropped++
		return
	}
	e.pending = append(e.pending, r)
}

// Process opens the socket or sends the pending records, whichever is due. now is the time on the event loop's clock.
// Process returns the time by which it must be called again. It must also be called after OnOpen and OnClose; the
// router calls it in each turn of the event loop.
func (e *Exporter) Process(now time.Duration) time.Duration {
	e.now = now
	if e.transport == nil {
		if now < e.nextDial {
			return e.nextDial
		}
		e.nextDial = now + redialDelay
		e.transport = e.dial(e)
	}
	if !e.connected {
		return e.nextDial
	}
	if now < e.nextFlush {
		return e.nextFlush
	}
	e.nextFlush = now + flushInterval
	for len(e.pending) > 0 { // each message takes at least one record: see maxMessageBytes
		e.sendMessage()
	}
	return e.nextFlush
}

// sendMessage sends one message with as many pending records as fit, and with the templates if they are due.
func (e *Exporter) sendMessage() {
	withTemplates := e.nextTemplates <= e.now
	if withTemplates {
		e.nextTemplates = e.now + templateInterval
	}
	message, count := e.encoder.encode(e.wallClock(), withTemplates, e.pending)
	e.pending = append(e.pending[:0], e.pending[count:]...)
	e.Counters.Sent += uint64(count)
	e.Counters.Messages++
	e.transport.Write(message)
}

// OnOpen handles the result of a dial. The first message on a new socket contains the templates, because the collector
// may not have them. A failed dial is handled and logged like the loss of a socket.
func (e *Exporter) OnOpen(err error) {
	if err != nil {
		e.OnClose(err)
		return
	}
	e.connected = true
	e.nextTemplates = 0
}

// OnData ignores data from the collector: IPFIX over UDP is one-way.
func (e *Exporter) OnData([]byte) {}

// OnClose logs the loss of the socket and schedules the next dial. It is also called if the collector does not listen,
// which the socket learns from an ICMP error.
func (e *Exporter) OnClose(err error) {
	if err == nil {
		err = errConnectionClosed
	}
	slog.Warn("flow collector connection lost", "address", e.collector, "error", err)
	e.transport = nil
	e.connected = false
	e.nextDial = e.now + redialDelay
}
