package router

import (
	"time"

	"functionrouter/policy"
)

// The deadline of a request is answerMargin before its client stops waiting. The network transfer of the answer takes
// about 1 ms; the rest of the margin covers stalls of the machine. On an overloaded machine, requests spent 46 ms (99th
// percentile) inside the program, and one answer arrived too late.
//
// If the client waits for less than answerMargin*answerMarginDivisor, the margin is 1/answerMarginDivisor of the wait,
// so that enough time is left for the work of the request.
const (
	answerMargin        = 40 * time.Millisecond
	answerMarginDivisor = 10
)

// AnswerBudget returns the time from the arrival of a request to its deadline, if its client stops waiting after wait.
func AnswerBudget(wait time.Duration) time.Duration {
	return wait - min(answerMargin, wait/answerMarginDivisor)
}

// limitDeadline returns the deadline of a new request: the earliest of the requested one, the end of the longest wait of
// its class, and the end of the shutdown.
func (r *Router) limitDeadline(req *Request) time.Duration {
	deadline := req.Deadline
	if r.limits.MaxWaits != nil {
		deadline = min(deadline, r.now+AnswerBudget(r.limits.MaxWaits[req.Class]))
	}
	if r.latestDeadline > 0 {
		deadline = min(deadline, r.latestDeadline)
	}
	return deadline
}

// deadlineTolerance is the time before the deadline from which the answer to an unserved request is marked as
// DeadlineExceeded (see Response). The policy ends a request answerMarginTicks ticks (policy/requests.go) before the
// deadline, 8 ms with this deployment's settings, so that the answer is not late.
//
// The tolerance must be at least as long as these ticks. If answerMarginTicks were larger, or a tick longer than 5 ms,
// the answers that the policy gives because of the deadline would not be marked as DeadlineExceeded.
const deadlineTolerance = 10 * time.Millisecond

// enforceDeadline ends a request at its deadline. The request's open attempts time out. If the request is still open,
// its client gets Refused if it is proven that no attempt ran, and Failed otherwise. The policy normally ends a request
// earlier, so enforceDeadline answers a request only in these cases:
//
//   - The policy has a fault or the machine stalled.
//   - BeginShutdown moved the deadline after the request was submitted. The policy does not learn of this.
//   - The deadline was not later than the arrival, for example because the client waits for 0 ms. The policy does not get
//     the request.
func (r *Router) enforceDeadline(id policy.RequestID) {
	p := r.requests.byID[id]
	if p == nil {
		return
	}
	for n := range p.attempts {
		r.cancelAttempt(AttemptID{Request: id, Number: n}, policy.TimedOut)
	}
	if p.closed {
		return
	}
	status := p.unservedStatus()
	r.Counters.Overdue++
	r.noResultLog.record(r.now, p, status.outcome(), deadlineGuardCause)
	r.respondUnserved(id, p, Response{Status: status, RetryAfter: r.limits.RetryAfter})
	r.tellPolicyOfEnd(id, p)
}
