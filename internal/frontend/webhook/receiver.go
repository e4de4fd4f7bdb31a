package webhook

import (
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/router"
)

// defaultRetryAfter is the Retry-After of what this package refuses with 503 by itself: the policy has given no advice.
const defaultRetryAfter = time.Second

// refusalLogInterval is the minimum time between two log lines about deliveries without a valid signature or with a payload
// that can't be used. Otherwise anyone who can connect could fill the log. Other refusals are not logged.
const refusalLogInterval = time.Second

// Why a delivery is refused although its signature is valid, besides the errors of its payload.
var (
	errPayloadMismatch = errors.New("webhook-id was used for another payload")
	errOverloaded      = errors.New("too many deliveries are remembered or waiting")
	errNoLedger        = errors.New("orders are not taken without a ledger")
)

// Counters counts HTTP requests by what was done with them. First deliveries whose request was submitted, and deliveries
// that were refused with errOverloaded, are in Deliveries alone.
type Counters struct {
	Deliveries    uint64 // with the right path and method
	Unauthorized  uint64 // of Deliveries: without a valid signature
	Malformed     uint64 // that can't be parsed, have another path or method, or a payload that can't be used
	Replayed      uint64 // of Deliveries: redeliveries answered with the outcome of the first delivery
	Joined        uint64 // of Deliveries: redeliveries that waited for the outcome of the first delivery
	LedgerRefused uint64 // of Deliveries: orders that could not be recorded, or found no ledger
}

// Receiver serves signed webhooks. It belongs to the event loop's goroutine.
type Receiver struct {
	settings       *ReceiverConfig
	router         RequestRouter
	classes        []Class
	classIndexes   map[string]int       // in classes, by name
	now            func() time.Duration // the event loop's clock
	wallClock      func() time.Time
	runOnLoop      func(func()) // runs a function on the event loop's goroutine
	keys           []signingKey
	ledger         *ledger // nil: orders are refused
	deliveries     *deduplicator
	nextRefusalLog time.Duration // the earliest time of the next log line about a refused delivery

	// Counters may be read on the event loop's goroutine.
	Counters Counters
}

// NewReceiver returns a Receiver that hands requests to the router.
//
// It reads the keys, and reads and compacts the ledger. It starts the ledger's writer, which Close ends. An error of a key
// names the key's file; that of a damaged ledger names the line, not the file.
func NewReceiver(options ReceiverOptions) (*Receiver, error) {
	r := &Receiver{
		settings:     &options.File.Receiver,
		router:       options.Router,
		classes:      options.Classes,
		classIndexes: map[string]int{},
		now:          options.Now,
		wallClock:    options.WallClock,
		runOnLoop:    options.RunOnLoop,
		deliveries:   newDeduplicator(options.MaxReplayBytes),
	}
	for i, class := range options.Classes {
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

// openLedger opens the ledger, if the settings name one, and restores the deliveries that it records.
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

// Close waits until the ledger's entries are written and synced, and ends its writer. It is called once, when the event
// loop no longer runs: neither a delivery nor the final answer to an order may arrive afterwards.
func (r *Receiver) Close() error {
	if r.ledger == nil {
		return nil
	}
	return r.ledger.close()
}

// Accept returns the handler of a connection that a client has opened. The event loop owns both.
func (r *Receiver) Accept(c *eventloop.Conn) eventloop.AcceptedHandler {
	return r.newConnection(c, c.RemoteAddr())
}

// newConnection returns the handler of a connection.
func (r *Receiver) newConnection(transport Transport, clientAddr netip.AddrPort) *connection {
	return &connection{receiver: r, transport: transport, clientAddr: clientAddr}
}

// Sweep forgets the outcomes that have expired: those of orders by the wall clock, the others by now, the event loop's
// clock. It must be called regularly: until then, expired outcomes count towards the limits.
func (r *Receiver) Sweep(now time.Duration) {
	r.deliveries.sweep(now-r.settings.DedupeFor, r.wallClock().Add(-r.settings.Ledger.Retention))
}

// handle handles an HTTP request. Nothing before the check of its signature has any effect, but for counters and log.
func (r *Receiver) handle(c *connection, head *requestHead, body []byte) {
	if err := r.checkTarget(head); err != nil {
		r.Counters.Malformed++
		c.refuse(err)
		return
	}
	r.Counters.Deliveries++
	id, err := verifySignature(head, body, r.keys, r.wallClock(), r.settings.Tolerance)
	if err != nil {
		r.Counters.Unauthorized++
		r.logRefusal("webhook delivery unauthorized", err)
		c.refuse(err)
		return
	}
	// A redelivery is answered before its payload is parsed: the checks of the payload, such as that of the retention, and
	// the limit on deliveries must not keep a client from an outcome that is known.
	digest := payloadDigest(body)
	if known := r.deliveries.find(id); known != nil {
		r.handleRedelivery(c, known, digest)
		return
	}
	r.handleFirstDelivery(c, id, digest, body)
}

// handleFirstDelivery parses the payload of a first delivery and admits its request, or refuses it.
func (r *Receiver) handleFirstDelivery(c *connection, id, digest string, body []byte) {
	delivered, err := r.parsePayload(body)
	if err != nil {
		r.Counters.Malformed++
		r.logRefusal("webhook delivery malformed", err)
		c.refuse(err)
		return
	}
	if r.deliveries.isFull() {
		c.refuse(errOverloaded)
		return
	}
	delivered.request.ClientAddr = c.clientAddr
	delivered.request.ClientReference = id
	first := &delivery{id: id, digest: digest, eventTime: delivered.eventTime, isOrder: delivered.isOrder}
	r.admit(c, first, delivered.request)
}

// checkTarget returns an error unless the HTTP request has the path and the method of deliveries.
func (r *Receiver) checkTarget(head *requestHead) error {
	if string(head.target) != r.settings.Path {
		return errUnknownPath
	}
	if string(head.method) != http.MethodPost {
		return errMethodNotAllowed
	}
	return nil
}

// handleRedelivery answers a redelivery with the outcome of the first delivery, as soon as it is known, or refuses it.
// digest is that of the redelivery's payload.
func (r *Receiver) handleRedelivery(c *connection, d *delivery, digest string) {
	switch {
	case d.digest != digest: // a client may not use a webhook-id for another payload
		r.Counters.Malformed++
		c.refuse(errPayloadMismatch)
	case d.completed:
		r.Counters.Replayed++
		c.respond(d.outcome)
	case len(d.waiting) >= maxWaitingConnections:
		c.refuse(errOverloaded)
	default:
		r.Counters.Joined++
		d.waiting = append(d.waiting, c)
	}
}

// admit hands the request of a first delivery to the router, an order's after the ledger has recorded it. Orders are
// refused without a ledger.
func (r *Receiver) admit(c *connection, d *delivery, request router.Request) {
	if d.isOrder && r.ledger == nil {
		r.Counters.LedgerRefused++
		c.refuse(errNoLedger)
		return
	}
	// The delivery is added first: the answer may come before submit returns, and a redelivery while the order is being
	// recorded must find it.
	d.waiting = []*connection{c}
	r.deliveries.add(d)
	if !d.isOrder {
		r.submit(d, request)
		return
	}
	r.ledger.recordStart(d.ledgerEntry(orderBegun), func(err error) {
		r.runOnLoop(func() { r.handleRecorded(d, request, err) })
	})
}

// handleRecorded handles the end of an order's recording. It submits an order that has been recorded. If err says that the
// ledger has failed to record it, the order is refused, and its next delivery is a first one.
func (r *Receiver) handleRecorded(d *delivery, request router.Request, err error) {
	if err != nil { // the ledger has logged it, unless its queue was full
		r.Counters.LedgerRefused++
		r.deliveries.remove(d)
		d.respondToWaiting(response{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter})
		return
	}
	r.submit(d, request)
}

// submit hands a delivery's request to the router.
func (r *Receiver) submit(d *delivery, request router.Request) {
	request.Responder = &responder{receiver: r, delivery: d}
	r.router.Submit(r.now(), request)
}

// logRefusal logs why a delivery was refused, at most once in refusalLogInterval whatever the message. The counters
// Unauthorized and Malformed count all of them.
func (r *Receiver) logRefusal(message string, err error) {
	now := r.now()
	if now < r.nextRefusalLog {
		return
	}
	r.nextRefusalLog = now + refusalLogInterval
	slog.Warn(message, "frontend", "webhook", "error", err)
}
