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

// defaultRetryAfter is the Retry-After of the HTTP requests that this package refuses with 503 itself. The policy gives
// the value for requests that the router refuses.
const defaultRetryAfter = time.Second

// refusalLogInterval is the minimum time between two log lines about deliveries without a valid signature or with an
// invalid payload. It prevents anyone who can connect from filling the log. Other refusals are not logged.
const refusalLogInterval = time.Second

// Reasons to refuse a delivery with a valid signature, apart from the errors of its payload.
var (
	errPayloadMismatch = errors.New("webhook-id was used for another payload")
	errOverloaded      = errors.New("too many deliveries are remembered or wait for an outcome")
	errNoLedger        = errors.New("orders are refused because no ledger is set")
)

// Counters counts HTTP requests by how the Receiver handled them. First deliveries whose request was submitted and
// deliveries that were refused with errOverloaded are only counted in Deliveries.
type Counters struct {
	Deliveries    uint64 // HTTP requests with the path and method of deliveries
	Unauthorized  uint64 // part of Deliveries: without a valid signature, or with a timestamp out of tolerance
	Malformed     uint64 // can't be parsed; wrong path or method, invalid payload or webhook-id of another payload
	Replayed      uint64 // part of Deliveries: redeliveries answered with the kept outcome
	Joined        uint64 // part of Deliveries: redeliveries that waited for the outcome of a pending request
	LedgerRefused uint64 // part of Deliveries: orders refused because the ledger is missing or could not record them
}

// Receiver serves signed webhook deliveries. Its methods must be called on the event loop's goroutine.
type Receiver struct {
	settings       *ReceiverConfig
	router         RequestRouter
	classes        []Class
	classIndexes   map[string]int       // indexes into classes, by name
	now            func() time.Duration // the event loop's clock
	wallClock      func() time.Time
	runOnLoop      func(func()) // runs a function on the event loop's goroutine
	keys           []signingKey
	ledger         *ledger // nil if the settings name no ledger; orders are refused then
	deliveries     *deduplicator
	nextRefusalLog time.Duration // the earliest time of the next log line about a refused delivery

	// Counters may be read on the event loop's goroutine.
	Counters Counters
}

// NewReceiver returns a Receiver that submits requests to the router.
//
// It reads the keys, reads and compacts the ledger, and starts the ledger's writer, which Close ends. The error for an
// invalid key names the key file; the error for a damaged ledger names the ledger's path and the line.
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

// openLedger opens the ledger, if the settings name one, and restores the orders that it contains.
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

// Close waits until the ledger's entries are written and synced, and ends the ledger's writer. It must be called once,
// after the event loop has stopped: no delivery and no final answer to an order may arrive afterwards.
func (r *Receiver) Close() error {
	if r.ledger == nil {
		return nil
	}
	return r.ledger.close()
}

// Accept returns the handler of a connection that a client has opened. The event loop owns the connection and the
// handler.
func (r *Receiver) Accept(c *eventloop.Conn) eventloop.AcceptedHandler {
	connection := r.newConnection(c, c.RemoteAddr())
	connection.input = c
	return connection
}

// newConnection returns the handler of a connection, without its input.
func (r *Receiver) newConnection(transport Transport, clientAddr netip.AddrPort) *connection {
	return &connection{receiver: r, transport: transport, clientAddr: clientAddr}
}

// Sweep removes the outcomes that have expired. Outcomes of orders expire by the wall clock, the others by now, which
// is the time on the event loop's clock. Sweep must be called regularly, because expired outcomes count towards the
// limits until they are removed.
func (r *Receiver) Sweep(now time.Duration) {
	r.deliveries.sweep(now-r.settings.DedupeFor, r.wallClock().Add(-r.settings.Ledger.Retention))
}

// handle handles an HTTP request. Until the signature has been checked, it changes nothing but the counters and the
// log.
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
	// A redelivery is answered before its payload is parsed. Otherwise the checks of the payload, such as that of the
	// retention, and the limit on deliveries could refuse a client that asks for a known outcome.
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

// checkTarget returns an error if the HTTP request does not have the path and the method of deliveries.
func (r *Receiver) checkTarget(head *requestHead) error {
	if string(head.target) != r.settings.Path {
		return errUnknownPath
	}
	if string(head.method) != http.MethodPost {
		return errMethodNotAllowed
	}
	return nil
}

// handleRedelivery answers a redelivery with the outcome of the first delivery as soon as the outcome is known, or
// refuses the redelivery. digest is the digest of its payload.
func (r *Receiver) handleRedelivery(c *connection, d *delivery, digest string) {
	switch {
	case d.digest != digest: // a webhook-id must not be reused for another payload
		r.Counters.Malformed++
		c.refuse(errPayloadMismatch)
	case d.completed:
		r.Counters.Replayed++
		c.respond(d.outcome)
	case len(d.waiting) >= maxWaitingConnections:
		c.refuse(errOverloaded)
	default:
		r.Counters.Joined++
		d.addWaiting(c)
		r.router.Resume(d.requestID)
	}
}

// admit submits the request of a first delivery to the router. An order is submitted after the ledger has recorded it,
// and refused if there is no ledger.
func (r *Receiver) admit(c *connection, d *delivery, request router.Request) {
	if d.isOrder && r.ledger == nil {
		r.Counters.LedgerRefused++
		c.refuse(errNoLedger)
		return
	}
	// The delivery must be added first, because the answer may arrive before submit returns, and a redelivery must find
	// the delivery while the order is being recorded.
	d.addWaiting(c)
	r.deliveries.add(d)
	if !d.isOrder {
		r.submit(d, request)
		return
	}
	r.ledger.recordStart(d.ledgerEntry(orderBegun), func(err error) {
		r.runOnLoop(func() { r.handleRecorded(d, request, err) })
	})
}

// handleRecorded submits an order that the ledger has recorded. If err is not nil, the ledger could not record the
// order: handleRecorded refuses the order, and the next delivery of its webhook-id is a first delivery.
func (r *Receiver) handleRecorded(d *delivery, request router.Request, err error) {
	if err != nil { // the ledger has logged err, unless its queue was full
		r.Counters.LedgerRefused++
		r.deliveries.remove(d)
		d.respondToWaiting(response{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter})
		return
	}
	if !d.isAwaited() {
		r.forget(d)
		return
	}
	r.submit(d, request)
}

// submit passes a delivery's request to the router.
func (r *Receiver) submit(d *delivery, request router.Request) {
	request.Responder = &responder{receiver: r, delivery: d}
	request.Input = d
	if id := r.router.Submit(r.now(), request); !d.answered {
		d.requestID = id
	}
}

// handleClientGone abandons the request of a pending delivery for whose outcome no connection waits any more. If no
// attempt of it has begun, the next delivery of the webhook-id is a first delivery.
func (r *Receiver) handleClientGone(d *delivery) {
	if d.isAwaited() || d.requestID == 0 { // handleRecorded looks at an order that is being recorded
		return
	}
	if r.router.Abandon(r.now(), d.requestID) {
		r.forget(d)
	}
}

// forget removes a delivery whose request never ran and whose client has disconnected. An order is released in the ledger.
func (r *Receiver) forget(d *delivery) {
	d.takeWaiting()
	r.deliveries.remove(d)
	if d.isOrder {
		r.ledger.recordEnd(d.ledgerEntry(orderReleased))
	}
}

// logRefusal logs why a delivery was refused. It logs at most one line per refusalLogInterval, independent of the
// message. The counters Unauthorized and Malformed include the refusals that are not logged.
func (r *Receiver) logRefusal(message string, err error) {
	now := r.now()
	if now < r.nextRefusalLog {
		return
	}
	r.nextRefusalLog = now + refusalLogInterval
	slog.Warn(message, "frontend", "webhook", "error", err)
}
