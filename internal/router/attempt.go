package router

import (
	"time"

	"functionrouter/policy"
)

// attempt is one send of a request to one worker.
type attempt struct {
	worker policy.WorkerID
	sentAt time.Duration
	ended  bool
}

// startAttempt sends a request to a worker. If the request is closed, or has no time or no attempt left, the attempt ends
// as policy.NotSent.
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
	if p.closed || outOfTime || outOfAttempts {
		r.AttemptEnded(id, AttemptResult{Outcome: policy.NotSent})
		return
	}
	if budget == action.Timeout { // else the timer of the request's deadline ends the attempt
		r.timers.schedule(r.now+budget, timer{kind: attemptTimeout, attempt: id})
	}
	r.Counters.AttemptsSent++
	r.workers.StartAttempt(action.Worker, id, &p.Request, budget)
}

// findOpenAttempt returns an attempt that has not ended and its request, or nils.
func (r *Router) findOpenAttempt(id AttemptID) (*pendingRequest, *attempt) {
	p := r.requests.byID[id.Request]
	if p == nil || id.Number >= len(p.attempts) || p.attempts[id.Number].ended {
		return nil, nil
	}
	return p, &p.attempts[id.Number]
}

// cancelAttempt ends an open attempt with the outcome, without waiting for its worker, which may still run it.
func (r *Router) cancelAttempt(id AttemptID, outcome policy.Outcome) {
	if _, a := r.findOpenAttempt(id); a != nil {
		r.workers.CancelAttempt(a.worker, id)
		r.AttemptEnded(id, AttemptResult{Outcome: outcome})
	}
}

// cancelUnsentAttempts ends the attempts of a closed request of which nothing has been sent.
func (r *Router) cancelUnsentAttempts(request policy.RequestID, p *pendingRequest) {
	for n := range p.attempts {
		id := AttemptID{Request: request, Number: n}
		if !p.attempts[n].ended && r.workers.CancelUnsent(id) {
			r.AttemptEnded(id, AttemptResult{Outcome: policy.NotSent})
		}
	}
}

// AttemptResult is how an attempt ended. All but the outcome is that of the worker's answer, if there was one.
type AttemptResult struct {
	Outcome        policy.Outcome
	InstanceStatus policy.InstanceStatus
	Body           []byte    // of the response; the Router keeps it
	LoadReport     []float64 // in the order of policy.Config.LoadReportFields; nil: none, or not complete
}

// AttemptEnded reports how an attempt ended, at the time of the last SetNow. If the worker served it and the request is
// open, the client gets the body before AttemptEnded returns; the policy gets the result from Process. A report of an
// attempt that has ended already is ignored.
func (r *Router) AttemptEnded(id AttemptID, result AttemptResult) {
	p, a := r.findOpenAttempt(id)
	if a == nil {
		return
	}
	a.ended = true
	p.openAttempts--
	p.endedAttemptMayHaveRun = p.endedAttemptMayHaveRun || !result.Outcome.NeverRan()
	r.Counters.AttemptOutcomes[result.Outcome]++
	if result.Outcome == policy.Served && !p.closed {
		r.respond(id.Request, p, Response{Status: Served, Body: result.Body, MayHaveRun: true})
	}
	r.events.add(policy.AttemptEnded{
		Request:        id.Request,
		Attempt:        id.Number,
		Worker:         a.worker,
		Outcome:        result.Outcome,
		InstanceStatus: result.InstanceStatus,
		RequestClosed:  p.closed,
		Duration:       r.now - a.sentAt,
		LoadReport:     result.LoadReport,
	})
	r.requests.removeIfDone(id.Request, p)
}
