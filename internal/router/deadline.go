package router

import (
	"time"

	"functionrouter/policy"
)

// An answer leaves answerMargin before its client stops waiting. The way back to the client takes about a
// millisecond; the rest covers a machine that stalls. On a crowded one, requests were measured to spend 46 ms (99th
// percentile) inside the program, and one answer arrived too late.
//
// The margin must not use up a wait that is as short as the work itself, so it is at most one part in
// answerMarginDivisor of the wait.
const (
	answerMargin        = 40 * time.Millisecond
	answerMarginDivisor = 10
)

// AnswerBudget returns how long after its arrival a request must be answered if its client waits for wait.
func AnswerBudget(wait time.Duration) time.Duration {
	return wait - min(answerMargin, wait/answerMarginDivisor)
}

// deadlineTolerance is how close before its deadline a request that ends unserved counts as out of time. The policy
// ends it answerMarginTicks ticks (policy/requests.go) before the deadline, 8 ms with this deployment's settings, to be
// sure that its answer is not late. An answer that early still means that the time ran out.
//
// It must be at least the policy's margin: with a larger one, or a tick of more than 5 ms, answers that the policy gives
// because of the deadline would not count as out of time.
const deadlineTolerance = 10 * time.Millisecond

// enforceDeadline ends a request at its deadline: its open attempts time out, and the client gets its one answer, a
// refusal if it is proven that nothing ran, else a failure. The policy ends a request earlier, so that this answers
// one only if
//
//   - the policy is at fault or the machine stalled;
//   - BeginShutdown has moved its deadline after it was submitted, of which the policy is not told;
//   - its deadline was not later than its arrival, such as that of a client that waits for 0 ms: Process fires timers
//     before it gives the policy the new request.
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
	r.events.add(policy.ClientCancelled{Request: id})
}
