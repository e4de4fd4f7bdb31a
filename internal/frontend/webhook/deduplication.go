package webhook

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"functionrouter/internal/router"
)

const (
	maxDeliveries         = 20000 // remembered at once; beyond it new ones are rejected
	maxWaitingConnections = 16    // for the outcome of one delivery
	digestBytes           = 16    // of a payload's SHA-256 that are compared and stored
)

// delivery is what is known of a webhook-id: its call is pending, or its outcome is kept for redeliveries.
type delivery struct {
	id        string
	digest    string
	isOrder   bool      // its call must never run twice: the ledger has it
	eventTime time.Time // of orders: their retention counts from it

	waiting []*connection // for the outcome of the pending call

	completed   bool
	completedAt time.Duration // on the loop's clock
	outcome     response
}

// payloadDigest returns a digest that tells a redelivery from another payload under the same webhook-id. The ledger
// stores it, so its form must not change.
func payloadDigest(payload []byte) string {
	digest := sha256.Sum256(payload)
	return hex.EncodeToString(digest[:digestBytes])
}

// ledgerEntry returns the entry that records this state of an order.
func (d *delivery) ledgerEntry(state orderState) ledgerEntry {
	e := ledgerEntry{ID: d.id, EventTime: d.eventTime, Digest: d.digest, State: state}
	if state == orderEnded {
		e.Status = d.outcome.status
		e.Body = d.outcome.body
	}
	return e
}

// respondToWaiting answers all connections that wait for the delivery.
func (d *delivery) respondToWaiting(r response) {
	waiting := d.waiting
	d.waiting = nil
	for _, c := range waiting {
		c.respond(r)
		c.handleBuffered()
	}
}

// deduplicator remembers deliveries by webhook-id, within bounds. It belongs to the event loop's goroutine.
type deduplicator struct {
	deliveries   map[string]*delivery
	bodyBytes    int // of the outcomes kept
	maxBodyBytes int
}

func newDeduplicator(maxBodyBytes int) *deduplicator {
	return &deduplicator{deliveries: map[string]*delivery{}, maxBodyBytes: maxBodyBytes}
}

// find returns what is known of a webhook-id, or nil.
func (d *deduplicator) find(id string) *delivery { return d.deliveries[id] }

// isFull reports whether no further delivery may be added.
func (d *deduplicator) isFull() bool {
	return len(d.deliveries) >= maxDeliveries || d.bodyBytes > d.maxBodyBytes
}

func (d *deduplicator) add(added *delivery) { d.deliveries[added.id] = added }

// remove forgets a delivery. A later one with its webhook-id runs as a first one.
func (d *deduplicator) remove(removed *delivery) {
	delete(d.deliveries, removed.id)
	d.bodyBytes -= len(removed.outcome.body)
}

// complete keeps the outcome of a delivery that was added.
func (d *deduplicator) complete(completed *delivery, now time.Duration, outcome response) {
	completed.completed = true
	completed.completedAt = now
	completed.outcome = outcome
	d.bodyBytes += len(outcome.body)
}

// restore adds an order from the ledger. One that was in flight when the program ended may have run, and nothing is
// known of how it ended: redeliveries are answered with 502, and it never runs again.
func (d *deduplicator) restore(e ledgerEntry) {
	outcome := response{status: e.Status, body: e.Body}
	if e.State == orderBegun {
		outcome = response{status: http.StatusBadGateway}
	}
	restored := &delivery{id: e.ID, digest: e.Digest, isOrder: true, eventTime: e.EventTime}
	d.add(restored)
	d.complete(restored, 0, outcome)
}

// sweep forgets the orders whose event was before oldestEvent and the other calls that were completed before
// oldestCompletion. Pending ones stay.
func (d *deduplicator) sweep(oldestCompletion time.Duration, oldestEvent time.Time) {
	for _, known := range d.deliveries {
		expired := known.completedAt < oldestCompletion
		if known.isOrder {
			expired = known.eventTime.Before(oldestEvent)
		}
		if known.completed && expired {
			d.remove(known)
		}
	}
}

// responder takes a call's final answer from the router.
type responder struct {
	receiver *Receiver
	delivery *delivery
}

// Respond answers all connections that wait for the delivery. An answer after which the call may have run is kept for
// redeliveries; where it is proven that the call never ran, the next delivery of the webhook-id runs it.
func (r *responder) Respond(a router.Response) {
	if a.Status == router.Refused && !a.MayHaveRun {
		r.release(a)
		return
	}
	r.complete(a)
}

func (r *responder) release(a router.Response) {
	r.receiver.deliveries.remove(r.delivery)
	if r.delivery.isOrder {
		r.receiver.ledger.recordEnd(r.delivery.ledgerEntry(orderReleased))
	}
	if a.DeadlineExceeded {
		r.delivery.respondToWaiting(response{status: http.StatusGatewayTimeout})
		return
	}
	r.delivery.respondToWaiting(response{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter})
}

func (r *responder) complete(a router.Response) {
	r.receiver.deliveries.complete(r.delivery, r.receiver.now(), outcomeOf(a))
	if r.delivery.isOrder {
		r.receiver.ledger.recordEnd(r.delivery.ledgerEntry(orderEnded))
	}
	r.delivery.respondToWaiting(r.delivery.outcome)
}

// outcomeOf returns how a call that may have run is answered, now and to redeliveries.
func outcomeOf(a router.Response) response {
	switch {
	case a.Status == router.Served:
		return response{status: http.StatusOK, body: a.Body}
	case a.DeadlineExceeded:
		return response{status: http.StatusGatewayTimeout}
	default:
		// Also a refusal of a call that may have run: a redelivery must not run it again.
		return response{status: http.StatusBadGateway}
	}
}
