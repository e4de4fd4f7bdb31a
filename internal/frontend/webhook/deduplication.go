package webhook

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"functionrouter/policy"
)

const (
	// maxDeliveries bounds the memory: while this many webhook-ids are remembered, first deliveries are refused. Orders
	// are remembered until they expire, so this is also the maximum number of new orders in one retention of the
	// ledger. A restart may restore more than this from the ledger.
	maxDeliveries = 20000

	// maxWaitingConnections bounds the connections that wait for the outcome of one delivery, including connections
	// that the client has closed in the meantime. Redeliveries beyond this limit are refused.
	maxWaitingConnections = 16

	// digestBytes is how many bytes of a payload's SHA-256 are compared and stored.
	digestBytes = 16
)

// delivery is the state of a webhook-id. Either its request is pending, or its outcome is kept for redeliveries.
type delivery struct {
	id        string    // the webhook-id
	digest    string    // digest of the payload; see payloadDigest
	isOrder   bool      // the request must never run twice, and the ledger records it
	eventTime time.Time // the retention of an order starts at this time

	waiting   []*connection    // connections that wait for the outcome while the request is pending
	requestID policy.RequestID // the router's ID of the pending request; 0 before it is submitted
	answered  bool             // the router has answered the request

	completed   bool          // the request has ended, and the fields below are set
	completedAt time.Duration // on the event loop's clock; 0 for an order that was restored from the ledger
	outcome     response
}

// payloadDigest returns a digest of the payload, which distinguishes a redelivery from another payload with the same
// webhook-id. The ledger stores the digest, so its form must not change.
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

// respondToWaiting answers all connections that wait for the delivery, in the sequence in which they started to wait,
// and handles the HTTP requests that each connection has received in the meantime. The caller must first keep the
// outcome or remove the delivery, because the next HTTP request on such a connection may have the same webhook-id.
func (d *delivery) respondToWaiting(r response) {
	for _, c := range d.takeWaiting() {
		c.respond(r)
		c.handleBuffered()
	}
}

// deduplicator remembers a bounded number of deliveries by webhook-id. Only the event loop's goroutine may use it.
type deduplicator struct {
	deliveries   map[string]*delivery
	bodyBytes    int // total size of the bodies of the outcomes that are kept
	maxBodyBytes int // isFull returns true while bodyBytes is above this limit
}

// newDeduplicator returns an empty deduplicator.
func newDeduplicator(maxBodyBytes int) *deduplicator {
	return &deduplicator{deliveries: map[string]*delivery{}, maxBodyBytes: maxBodyBytes}
}

// find returns the delivery with a webhook-id, or nil if it is not remembered.
func (d *deduplicator) find(id string) *delivery { return d.deliveries[id] }

// isFull reports whether first deliveries must be refused. The caller must check it, because add has no limit.
func (d *deduplicator) isFull() bool {
	return len(d.deliveries) >= maxDeliveries || d.bodyBytes > d.maxBodyBytes
}

// add remembers a delivery. No delivery with the same webhook-id may be remembered already, because the body of the
// replaced one would stay counted in bodyBytes.
func (d *deduplicator) add(added *delivery) { d.deliveries[added.id] = added }

// remove forgets a delivery. The next delivery with its webhook-id is a first delivery.
func (d *deduplicator) remove(removed *delivery) {
	delete(d.deliveries, removed.id)
	d.bodyBytes -= len(removed.outcome.body)
}

// complete keeps the outcome of a delivery that was added. It must not be called twice for the same delivery.
func (d *deduplicator) complete(pending *delivery, now time.Duration, outcome response) {
	pending.completed = true
	pending.completedAt = now
	pending.outcome = outcome
	d.bodyBytes += len(outcome.body)
}

// restore adds an order from the ledger. An order that had begun but not ended when the previous process ended may have
// run. It never runs again, and its redeliveries are answered with 502.
func (d *deduplicator) restore(e ledgerEntry) {
	outcome := response{status: e.Status, body: e.Body}
	if e.State == orderBegun {
		outcome = response{status: http.StatusBadGateway}
	}
	restored := &delivery{id: e.ID, digest: e.Digest, isOrder: true, eventTime: e.EventTime}
	d.add(restored)
	d.complete(restored, 0, outcome)
}

// sweep forgets the completed orders whose event was before oldestEvent, and the other deliveries that were completed
// before oldestCompletion. Pending deliveries are kept.
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
