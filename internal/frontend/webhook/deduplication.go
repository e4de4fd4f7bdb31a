package webhook

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"
)

const (
	// maxDeliveries is how many webhook-ids are remembered before first deliveries are refused, which bounds the memory.
	// Orders stay until they expire, so that no more than this may come in one retention of the ledger. The ledger may
	// restore more.
	maxDeliveries = 20000

	// maxWaitingConnections bounds the connections that wait for the outcome of one delivery, including those that the
	// client has closed since. Redeliveries beyond it are refused.
	maxWaitingConnections = 16

	// digestBytes is how many bytes of a payload's SHA-256 are compared and stored.
	digestBytes = 16
)

// delivery is what is known of a webhook-id: its request is pending, or its outcome is kept for redeliveries.
type delivery struct {
	id        string    // the webhook-id
	digest    string    // of the payload, see payloadDigest
	isOrder   bool      // its request must never run twice: the ledger records it
	eventTime time.Time // of orders: their retention counts from it

	waiting []*connection // for the outcome, while the request is pending

	completed   bool          // the request has ended; the rest is set
	completedAt time.Duration // on the event loop's clock; 0 if the ledger had the outcome
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

// respondToWaiting answers all connections that wait for the delivery, in the sequence in which they arrived,
// and handles what each has received meanwhile. The outcome must have been kept, or the delivery removed, before: the next
// HTTP request on such a connection may carry the same webhook-id.
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
	bodyBytes    int // of the outcomes that are kept
	maxBodyBytes int // isFull reports true while bodyBytes is above it
}

// newDeduplicator returns a deduplicator that remembers nothing yet.
func newDeduplicator(maxBodyBytes int) *deduplicator {
	return &deduplicator{deliveries: map[string]*delivery{}, maxBodyBytes: maxBodyBytes}
}

// find returns what is known of a webhook-id, or nil.
func (d *deduplicator) find(id string) *delivery { return d.deliveries[id] }

// isFull reports whether no further first delivery may be added. The caller checks it; add itself has no limit.
func (d *deduplicator) isFull() bool {
	return len(d.deliveries) >= maxDeliveries || d.bodyBytes > d.maxBodyBytes
}

// add remembers a delivery. No other with its webhook-id may be remembered: its body would stay in bodyBytes.
func (d *deduplicator) add(added *delivery) { d.deliveries[added.id] = added }

// remove forgets a delivery. The next one with its webhook-id is a first one.
func (d *deduplicator) remove(removed *delivery) {
	delete(d.deliveries, removed.id)
	d.bodyBytes -= len(removed.outcome.body)
}

// complete keeps the outcome of a delivery that was added. It is called once at most for each.
func (d *deduplicator) complete(pending *delivery, now time.Duration, outcome response) {
	pending.completed = true
	pending.completedAt = now
	pending.outcome = outcome
	d.bodyBytes += len(outcome.body)
}

// restore adds an order from the ledger. One that had begun but not ended when the process ended may have run:
// redeliveries are answered with 502, and it never runs again.
func (d *deduplicator) restore(e ledgerEntry) {
	outcome := response{status: e.Status, body: e.Body}
	if e.State == orderBegun {
		outcome = response{status: http.StatusBadGateway}
	}
	restored := &delivery{id: e.ID, digest: e.Digest, isOrder: true, eventTime: e.EventTime}
	d.add(restored)
	d.complete(restored, 0, outcome)
}

// sweep forgets the orders whose event was before oldestEvent, and the other deliveries that were completed before
// oldestCompletion. Pending ones stay.
func (d *deduplicator) sweep(oldestCompletion time.Duration, oldestEvent time.Time) {
	for _, remembered := range d.deliveries {
		expired := remembered.completedAt < oldestCompletion
		if remembered.isOrder {
			expired = remembered.eventTime.Before(oldestEvent)
		}
		if remembered.completed && expired {
			d.remove(remembered)
		}
	}
}
