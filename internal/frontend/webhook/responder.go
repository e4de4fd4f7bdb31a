package webhook

import (
	"net/http"

	"functionrouter/internal/router"
)

// responder receives the router's final answer to a delivery's request.
type responder struct {
	receiver *Receiver
	delivery *delivery
}

// Respond answers all connections that wait for the delivery, and keeps the answer for redeliveries. The exception is a
// refusal of a request that provably never ran: it is not kept, and the next delivery of the webhook-id is a first
// delivery.
func (r *responder) Respond(answer router.Response) {
	r.delivery.answered = true
	if answer.Status == router.Refused && !answer.MayHaveRun {
		r.release(answer)
		return
	}
	r.complete(answer)
}

// release removes a delivery whose request was refused and never ran, and answers the connections that wait for it.
func (r *responder) release(answer router.Response) {
	r.receiver.deliveries.remove(r.delivery)
	if r.delivery.isOrder {
		r.receiver.ledger.recordEnd(r.delivery.ledgerEntry(orderReleased))
	}
	if answer.DeadlineExceeded {
		r.delivery.respondToWaiting(response{status: http.StatusGatewayTimeout})
		return
	}
	r.delivery.respondToWaiting(response{status: http.StatusServiceUnavailable, retryAfter: answer.RetryAfter})
}

// complete keeps the outcome of a delivery and answers the connections that wait for the outcome.
func (r *responder) complete(answer router.Response) {
	r.receiver.deliveries.complete(r.delivery, r.receiver.now(), outcomeOf(answer))
	if r.delivery.isOrder {
		r.receiver.ledger.recordEnd(r.delivery.ledgerEntry(orderEnded))
	}
	r.delivery.respondToWaiting(r.delivery.outcome)
}

// outcomeOf returns the response to a delivery that is not released, and to its redeliveries.
func outcomeOf(answer router.Response) response {
	switch {
	case answer.Status == router.Served:
		return response{status: http.StatusOK, body: answer.Body}
	case answer.DeadlineExceeded:
		return response{status: http.StatusGatewayTimeout}
	default:
		// The request has failed, or it was refused but may have run. A redelivery must not run it again.
		return response{status: http.StatusBadGateway}
	}
}
