// Package webhook is an optional frontend: it takes calls as signed webhook deliveries over HTTP/1.1 and sends
// signed notices of how orders ended, both after the Standard Webhooks specification
// (https://www.standardwebhooks.com).
//
// A delivery may come any number of times; its webhook-id is the idempotency key. The Receiver runs its call once
// and replays the outcome to redeliveries. Calls that must never run twice (orders) go through a durable
// write-ahead log, the ledger, before they are sent to a worker, so that this also holds over a restart.
//
// A Receiver and a Sender belong to the event loop's goroutine: all their methods are called there. The only other
// goroutine is the ledger's writer, which NewReceiver starts and Receiver.Close ends.
package webhook

import (
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/router"
	"functionrouter/policy"
)

const (
	defaultRetryAfter    = time.Second // where the policy gives no advice
	rejectionLogInterval = time.Second // between two log lines about rejected deliveries, at least
)

// Why a delivery that was verified is not run.
var (
	errPayloadMismatch = errors.New("webhook-id was used for another payload")
	errOverloaded      = errors.New("too many deliveries are remembered or waiting")
	errNoLedger        = errors.New("orders are not taken without a ledger")
)

// RequestRouter is what the Receiver hands calls to; a router.Router is one.
type RequestRouter interface {
	// Submit takes a request at now, on the loop's monotonic clock. The request's Responder gets the final answer,
	// at once or later.
	Submit(now time.Duration, r router.Request) policy.RequestID
}

// Transport is a connection to a peer; an eventloop.Conn is one.
type Transport interface {
	// Write queues the bytes for sending.
	Write(bufs ...[]byte)
	// Close closes the connection at once.
	Close()
	// CloseAfterFlush closes the connection when what was written has been sent.
	CloseAfterFlush()
}

// Class is a class of calls as the Receiver needs to know it.
type Class struct {
	Name    string
	Once    bool          // it must never run twice: it goes through the ledger
	Longest time.Duration // that a call may wait for its answer; also what it waits where it doesn't say
}

// Counters counts deliveries by what was done with them.
type Counters struct {
	Deliveries    uint64 // requests to the right path with the right method
	Unauthorized  uint64 // without a valid signature
	Malformed     uint64 // requests that can't be read, are no delivery or have a bad payload
	Replayed      uint64 // redeliveries answered with the first one's outcome
	Joined        uint64 // redeliveries that waited for the first one's outcome
	LedgerRefused uint64 // orders that could not be recorded
}

// Receiver serves signed webhooks. It belongs to the event loop's goroutine.
type Receiver struct {
	settings         *ReceiverConfig
	router           RequestRouter
	classes          []Class
	classIndexes     map[string]int // in classes, by name
	now              func() time.Duration
	wallClock        func() time.Time
	runOnLoop        func(func())
	keys             []signingKey
	ledger           *ledger // nil: orders are not taken
	deliveries       *deduplicator
	nextRejectionLog time.Duration

	// Count may be read on the loop's goroutine.
	Count Counters
}

// NewReceiver reads the keys and the ledger, and starts the ledger's writer, which Close ends. It remembers at most
// maxReplayBytes of answers' bodies. now is the loop's monotonic clock, and runOnLoop runs a function on the loop's
// goroutine. Its errors name the file that can't be used.
func NewReceiver(cfg *Config, requests RequestRouter, classes []Class, maxReplayBytes int, now func() time.Duration,
	wallClock func() time.Time, runOnLoop func(func())) (*Receiver, error) {
	r := &Receiver{
		settings:     &cfg.Receiver,
		router:       requests,
		classes:      classes,
		classIndexes: map[string]int{},
		now:          now,
		wallClock:    wallClock,
		runOnLoop:    runOnLoop,
		deliveries:   newDeduplicator(maxReplayBytes),
	}
	for i, class := range classes {
		r.classIndexes[class.Name] = i
	}
	for _, key := range r.settings.Keys {
		secret, err := readSecret(key.File)
		if err != nil {
			return nil, err
		}
		r.keys = append(r.keys, signingKey{secret: secret, retiredAt: key.Until})
	}
	if err := r.openLedger(); err != nil {
		return nil, err
	}
	return r, nil
}

// openLedger opens the ledger, where one is configured, and remembers the outcomes in it.
func (r *Receiver) openLedger() error {
	settings := &r.settings.Ledger
	if settings.Path == "" {
		return nil
	}
	l, entries, err := openLedger(settings.Path, settings.MaxBytes, settings.Retention, r.wallClock)
	if err != nil {
		return err
	}
	r.ledger = l
	for _, e := range entries {
		r.deliveries.restore(e)
	}
	return nil
}

// Close waits until the ledger's entries are written, and ends its writer. No delivery may come after it.
func (r *Receiver) Close() error {
	if r.ledger == nil {
		return nil
	}
	return r.ledger.close()
}

// Accept serves a connection.
func (r *Receiver) Accept(c *eventloop.Conn) eventloop.AcceptedHandler {
	return r.serve(c, c.RemoteAddr())
}

func (r *Receiver) serve(transport Transport, peer netip.AddrPort) *connection {
	return &connection{receiver: r, transport: transport, peer: peer}
}

// Sweep forgets outcomes that have expired at now, on the loop's monotonic clock.
func (r *Receiver) Sweep(now time.Duration) {
	r.deliveries.sweep(now-r.settings.DedupeFor, r.wallClock().Add(-r.settings.Ledger.Retention))
}

// handle answers a request or has its call run. Nothing has any effect before the signature is verified.
func (r *Receiver) handle(c *connection, head *requestHead, body []byte) {
	if err := r.checkTarget(head); err != nil {
		r.Count.Malformed++
		c.reject(err)
		return
	}
	r.Count.Deliveries++
	id, err := verifySignature(head, body, r.keys, r.wallClock(), r.settings.Tolerance)
	if err != nil {
		r.Count.Unauthorized++
		r.logRejection("webhook delivery unauthorized", err)
		c.reject(err)
		return
	}
	digest := payloadDigest(body)
	if d := r.deliveries.find(id); d != nil {
		r.handleRedelivery(c, d, digest)
		return
	}
	parsed, err := r.parseCall(body)
	if err != nil {
		r.Count.Malformed++
		r.logRejection("webhook delivery malformed", err)
		c.reject(err)
		return
	}
	if r.deliveries.isFull() {
		c.reject(errOverloaded)
		return
	}
	parsed.request.ClientAddr = c.peer
	parsed.request.ClientReference = id
	r.admit(c, &delivery{id: id, digest: digest, eventTime: parsed.eventTime, isOrder: parsed.isOrder}, parsed.request)
}

// checkTarget rejects what is no delivery, whoever it comes from.
func (r *Receiver) checkTarget(head *requestHead) error {
	if string(head.target) != r.settings.Path {
		return errUnknownPath
	}
	if string(head.method) != http.MethodPost {
		return errMethodNotAllowed
	}
	return nil
}

// handleRedelivery answers a redelivery with the outcome of the first delivery, as soon as that is known.
func (r *Receiver) handleRedelivery(c *connection, d *delivery, digest string) {
	switch {
	case d.digest != digest: // a sender may not give an id to another payload
		r.Count.Malformed++
		c.reject(errPayloadMismatch)
	case d.completed:
		r.Count.Replayed++
		c.respond(d.outcome)
	case len(d.waiting) >= maxWaitingConnections:
		c.reject(errOverloaded)
	default:
		r.Count.Joined++
		d.waiting = append(d.waiting, c)
	}
}

// admit hands a first delivery's call to the router: that of an order once the ledger has recorded it.
func (r *Receiver) admit(c *connection, d *delivery, request router.Request) {
	if d.isOrder && r.ledger == nil {
		r.Count.LedgerRefused++
		c.reject(errNoLedger)
		return
	}
	d.waiting = []*connection{c}
	r.deliveries.add(d)
	if !d.isOrder {
		r.submit(d, request)
		return
	}
	r.ledger.recordStart(d.ledgerEntry(orderBegun), func(err error) {
		r.runOnLoop(func() { r.startRecorded(d, request, err) })
	})
}

// startRecorded goes on with an order when the ledger has recorded it, or has failed to.
func (r *Receiver) startRecorded(d *delivery, request router.Request, err error) {
	if err != nil { // the ledger has logged it
		r.Count.LedgerRefused++
		r.deliveries.remove(d)
		d.respondToWaiting(response{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter})
		return
	}
	r.submit(d, request)
}

func (r *Receiver) submit(d *delivery, request router.Request) {
	request.Responder = &responder{receiver: r, delivery: d}
	r.router.Submit(r.now(), request)
}

// logRejection logs why a delivery was rejected, at most once in rejectionLogInterval: otherwise any client could fill
// the log. The counters count them all.
func (r *Receiver) logRejection(message string, err error) {
	now := r.now()
	if now < r.nextRejectionLog {
		return
	}
	r.nextRejectionLog = now + rejectionLogInterval
	slog.Warn(message, "frontend", "webhook", "error", err)
}
