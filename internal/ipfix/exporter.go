package ipfix

import (
	"errors"
	"log/slog"
	"time"

	"functionrouter/internal/eventloop"
)

const (
	flushInterval     = time.Second
	redialDelay       = 5 * time.Second
	maxPendingRecords = 1024 // records beyond it are dropped and counted

	// templateInterval is the time between two messages with the templates. UDP may lose one, and collectors
	// forget templates after a while (RFC 7011 section 8.4).
	templateInterval = time.Minute
)

// errConnectionClosed stands for the error of a socket that was closed without one.
var errConnectionClosed = errors.New("connection closed")

// Transport is a UDP socket that is connected to the collector. A *eventloop.UDPConn is one.
type Transport interface {
	// Write sends each of bufs as one datagram.
	Write(bufs ...[]byte)
	// Close closes the socket.
	Close()
}

// Counters counts what became of records. A datagram that was sent may still be lost.
type Counters struct {
	Records  uint64 // added, of which Sent and Dropped are parts
	Sent     uint64
	Dropped  uint64 // beyond the limit on pending records, or of addresses that don't fit together
	Messages uint64 // datagrams sent
}

// Exporter gathers flow records and sends them to a collector. It opens its socket, and opens it again some seconds
// after it has failed.
type Exporter struct {
	Counters Counters

	collector string
	dial      func(h eventloop.DialHandler) Transport
	wallClock func() time.Time
	encoder   messageEncoder
	pending   []record

	transport Transport // nil between a failure and the next dial
	connected bool

	now           time.Duration // the event loop's clock at the last Process
	nextDial      time.Duration
	nextFlush     time.Duration
	nextTemplates time.Duration
}

// New returns an Exporter that opens its socket with dial. wallClock tells the export time of messages.
func New(c *Config, wallClock func() time.Time, dial func(h eventloop.DialHandler) Transport) *Exporter {
	return &Exporter{
		collector: c.Collector,
		dial:      dial,
		wallClock: wallClock,
		encoder:   messageEncoder{domain: c.Domain},
	}
}

// Add queues the record of a flow for the next message.
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

// Process opens the socket and sends the pending records, where either is due. now is the event loop's clock. It
// returns when it should be called again at the latest.
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
	for len(x.pending) > 0 {
		x.sendMessage()
	}
	return x.nextFlush
}

// sendMessage sends one message of pending records, with the templates where they are due.
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

// OnOpen is called when the dial has ended. The collector of a new socket knows no template yet.
func (x *Exporter) OnOpen(err error) {
	if err != nil {
		x.OnClose(err)
		return
	}
	x.connected = true
	x.nextTemplates = 0
}

// OnData ignores what a collector sends: IPFIX has no answers.
func (x *Exporter) OnData([]byte) {}

// OnClose schedules the next dial. A collector that does not listen shows in this way, by ICMP.
func (x *Exporter) OnClose(err error) {
	if err == nil {
		err = errConnectionClosed
	}
	slog.Warn("flow collector connection lost", "address", x.collector, "error", err)
	x.transport = nil
	x.connected = false
	x.nextDial = x.now + redialDelay
}
