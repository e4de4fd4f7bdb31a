package router

import (
	"time"

	"functionrouter/policy"
)

// attempt records one send of a request to one worker.
type attempt struct {
	worker policy.WorkerID
	sentAt time.Duration
	heldAt time.Duration // when the attempt first waited for the client's input; 0 if it has not
	endsBy time.Duration // when its budget ends
	// inPool means that the worker pool has got the attempt. Before that it waits in Router.held.
	inPool bool
	ended  bool
}

// startAttempt sends a request to a worker. If the request is closed or abandoned, has reached its deadline or has used up
// Limits.MaxAttempts, startAttempt sends nothing and ends the attempt with policy.NotSent. The request is pending, because
// the table holds every request that the policy knows.
func (r *Router) startAttempt(action policy.SendAttempt) {
	p := r.requests.byID[action.Request]
	if p == nil {
		return
	}
	id := AttemptID{Request: action.Request, Number: len(p.attempts)}
	p.attempts = append(p.attempts, attempt{worker: action.Worker, sentAt: r.now})
	p.openAttempts++
	budget := p.Deadline - r.now
	if action.Timeout > 0 {
		budget = min(budget, action.Timeout)
	}
	outOfTime := budget <= 0
	outOfAttempts := r.limits.MaxAttempts > 0 && id.Number >= r.limits.MaxAttempts
	if p.closed || p.abandoned || outOfTime || outOfAttempts {
		r.AttemptEnded(id, AttemptResult{Outcome: policy.NotSent})
		return
	}
	if budget == action.Timeout { // otherwise the timer for the request's deadline ends the attempt
		r.timers.schedule(r.now+budget, timer{kind: attemptTimeout, attempt: id})
	}
	if action.SendWithin > 0 && action.SendWithin < budget {
		r.timers.schedule(r.now+action.SendWithin, timer{kind: unsentTimeout, attempt: id})
	}
	p.attempts[id.Number].endsBy = r.now + budget
	if p.Input != nil && !policy.MayBegin(p.Input.UnseenFor()) {
		p.attempts[id.Number].heldAt = r.now
		r.held = append(r.held, id)
		return
	}
	r.passToPool(id, p)
}

// passToPool gives an open attempt to the worker pool, unless its budget has ended.
func (r *Router) passToPool(id AttemptID, p *pendingRequest) {
	a := &p.attempts[id.Number]
	budget := min(a.endsBy, p.Deadline) - r.now
	if budget <= 0 {
		r.AttemptEnded(id, AttemptResult{Outcome: policy.NotSent})
		return
	}
	a.inPool = true
	r.Counters.AttemptsSent++
	r.workers.StartAttempt(a.worker, id, &p.Request, budget)
}

// findOpenAttempt returns the attempt and its request, or nil for both if the attempt is unknown or has ended.
func (r *Router) findOpenAttempt(id AttemptID) (*pendingRequest, *attempt) {
	p := r.requests.byID[id.Request]
	if p == nil || id.Number >= len(p.attempts) || p.attempts[id.Number].ended {
		return nil, nil
	}
	return p, &p.attempts[id.Number]
}

// cancelAttempt ends an open attempt with the given outcome without waiting for the worker, which may still run the
// request. An attempt that the pool has not got never ran.
func (r *Router) cancelAttempt(id AttemptID, outcome policy.Outcome) {
	_, a := r.findOpenAttempt(id)
	switch {
	case a == nil:
		return
	case a.inPool:
		r.workers.CancelAttempt(a.worker, id)
	default:
		outcome = policy.NotSent
	}
	r.AttemptEnded(id, AttemptResult{Outcome: outcome})
}

// cancelUnsentAttempts ends the open attempts of a closed request if no byte of them has been sent to a worker.
func (r *Router) cancelUnsentAttempts(request policy.RequestID, p *pendingRequest) {
	for n := range p.attempts {
		if !p.attempts[n].ended {
			r.cancelUnsentAttempt(AttemptID{Request: request, Number: n})
		}
	}
}

// cancelUnsentAttempt ends an attempt if no byte of it has been sent to a worker.
func (r *Router) cancelUnsentAttempt(id AttemptID) {
	_, a := r.findOpenAttempt(id)
	isHeld := a != nil && !a.inPool
	if isHeld || r.workers.CancelUnsent(id) {
		r.AttemptEnded(id, AttemptResult{Outcome: policy.NotSent})
	}
}

// AttemptResult describes how an attempt ended. All fields except Outcome and AnswerCorrupted come from the worker's
// answer and are zero if the worker did not answer.
type AttemptResult struct {
	Outcome policy.Outcome
	// AnswerCorrupted is true if an answer on the attempt's connection, to this or another attempt, was corrupted, so
	// that the connection was closed. The outcome is then policy.ConnectionReset.
	AnswerCorrupted bool
	InstanceStatus  policy.InstanceStatus
	Body            []byte    // body of the response; the caller must not change it afterwards
	LoadReport      []float64 // values in the order of policy.Config.LoadReportFields; nil if missing or incomplete
}

// AttemptEnded tells the Router how an attempt ended, at the time of the last SetNow. If the worker served the attempt
// and the request is open, AttemptEnded answers the client before it returns. The policy gets the result during
// Process. AttemptEnded ignores an attempt that has already ended.
func (r *Router) AttemptEnded(id AttemptID, result AttemptResult) {
	p, a := r.findOpenAttempt(id)
	if a == nil {
		return
	}
	a.ended = true
	p.openAttempts--
	if !result.Outcome.NeverRan() {
		p.recordRun(run{class: p.Class, worker: a.worker, sentAt: a.sentAt})
	}
	r.Counters.AttemptOutcomes[result.Outcome]++
	if result.Outcome == policy.Served && !p.closed {
		r.respond(id.Request, p, Response{Status: Served, Body: result.Body, MayHaveRun: true})
	}
	r.events.add(policy.AttemptEnded{
		Request:         id.Request,
		Attempt:         id.Number,
		Worker:          a.worker,
		Outcome:         result.Outcome,
		AnswerCorrupted: result.AnswerCorrupted,
		InstanceStatus:  result.InstanceStatus,
		Duration:        r.now - a.sentAt,
		LoadReport:      result.LoadReport,
	})
	r.endIfDone(id.Request, p)
}
