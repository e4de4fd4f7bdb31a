package webhook

import (
	"net/http"

	"functionrouter/internal/router"
)

// responder gets the router's final answer to a delivery's request.
type responder struct {
	receiver *Receiver
	delivery *delivery
}

// Respond answers all connections that wait for the delivery. The answer is kept for redeliveries, except a refusal with
// the proof that the request never ran: the next delivery of the webhook-id is then a first one.
func (r *responder) Respond(answer router.Response) {
	if answer.Status == router.Refused && !answer.MayHaveRun {
		r.release(answer)
		return
	}
	r.complete(answer)
}

// release forgets a delivery whose request was refused and never ran, and answers the connections that wait for it.
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

// complete keeps the outcome of a delivery and answers the connections that wait for it.
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
		// The request has failed, or was refused and may have run: a redelivery must not run it again.
		return response{status: http.StatusBadGateway}
	}
}
