package policy

import "time"

const (
	// longestPlausibleTime bounds the times that clients and workers name. A load time beyond it counts as
	// unknown, and so does a work hint of at least it, though such a hint is learned from as if it were this
	// long; the duration of an attempt counts as at most this one.
	longestPlausibleTime = time.Hour

	// answerMarginTicks is how many ticks before a request's deadline its final answer leaves. One tick may
	// pass until the timer fires, and one on the way out.
	answerMarginTicks = 2

	// retryJitter is the part of a Retry-After that is drawn at random. Higher, and some clients come back
	// too early; lower, and all that were refused together come back together.
	retryJitter = 0.5
)

// request is a request that has no final answer yet, or has attempts in flight. It is in one of these states:
//
//	placed again soon  in Policy.waiting: no worker may take it now
//	awaiting a load    in instance.waiting: a load command has no answer yet
//	in flight          attemptsInFlight is 1
//	finished           it has its answer, but an attempt has not ended: the worker may still run it
//
// It is forgotten once it is finished and no attempt is in flight.
type request struct {
	arrived          RequestArrived // as it came, with a TimeLeft of at least 0
	function         *function
	deadline         time.Duration
	quota            *tokenBucket // of its tenant; nil: the tenant has none
	attempts         []*attempt   // in the order of their sends
	attemptsInFlight int
	mayHaveRun       *attempt  // the first attempt that may have run; nil: none
	triedWorkers     []*worker // workers that rejected or failed it
	overQuota        bool      // its tenant's quota was used up when it came
	responseStarted  bool      // part of the response has reached the client
	finished         bool      // it has its final answer, or is owed none
}

func (r *request) id() RequestID { return r.arrived.Request }

// classOf returns the class of r.
func (p *Policy) classOf(r *request) *class { return &p.classes[r.arrived.Class] }

// objective returns r's latency objective.
func (p *Policy) objective(r *request) nanoseconds {
	return nanoseconds(p.classOf(r).settings.LatencyObjective)
}

// timeLeft returns the time until r's client gives up.
func (p *Policy) timeLeft(r *request) nanoseconds { return nanoseconds(r.deadline - p.now) }

// answerMargin is how long before its deadline a request gets its final answer.
func (p *Policy) answerMargin() time.Duration { return answerMarginTicks * p.cfg.Tick }

// outOfTime reports whether r's final answer is due.
func (p *Policy) outOfTime(r *request) bool { return p.now >= r.deadline-p.answerMargin() }

// requestArrived registers a new request, sets the timer of its deadline and places it. One of an unknown
// class or with an id that is in use is ignored.
func (p *Policy) requestArrived(e RequestArrived) {
	if e.Class < 0 || e.Class >= len(p.classes) || p.requests[e.Request] != nil {
		return
	}
	p.loadCommands.recordRequest(p.now)
	p.gossip.addBudget(p.cfg.RouterCount)
	e.TimeLeft = max(e.TimeLeft, 0)
	r := &request{arrived: e, function: p.recordFunctionRequest(e), deadline: p.now + e.TimeLeft}
	p.requests[e.Request] = r
	p.assignQuota(r)
	p.setTimer(max(e.TimeLeft-p.answerMargin(), 0), timer{kind: deadlineTimer, request: e.Request})
	p.place(r)
	r.function.recentRequests++ // after placing r, which must not count itself
}

// responseStarted records that part of a response has reached the client: another attempt would add a second
// one.
func (p *Policy) responseStarted(e ResponseStarted) {
	if r := p.requests[e.Request]; r != nil {
		r.responseStarted = true
	}
}

// clientCancelled ends a request that is owed no answer any more.
func (p *Policy) clientCancelled(e ClientCancelled) {
	if r := p.requests[e.Request]; r != nil {
		p.closeRequest(r)
	}
}

// deadlineReached ends a request whose time has run out. One whose response is on its way gets that as its
// answer.
func (p *Policy) deadlineReached(id RequestID) {
	if r := p.requests[id]; r != nil && !r.responseStarted {
		p.endUnserved(r, 0, DeadlineExceeded)
	}
}

// endUnserved gives r its final answer without a result, at once: a refusal, which the rules turn into a
// failure unless a repeat is harmless. wait is the time after which a repeat may fare better, 0 if it is not
// known. The advice is drawn also where r has its answer already: a short cut would shift all later draws.
func (p *Policy) endUnserved(r *request, wait nanoseconds, reason UnservedReason) {
	refusal := RefuseRequest{Request: r.id(), RetryAfter: p.retryAfter(wait), Reason: reason}
	if !r.finished && p.emit(refusal) {
		p.closeRequest(r)
	}
}

// retryAfter returns the advice when to come back: wait within the settings' limit, less a random part. It is
// 0 where the settings allow no advice.
func (p *Policy) retryAfter(wait nanoseconds) time.Duration {
	maxWait := nanoseconds(p.cfg.MaxRetryAfter)
	if !p.cfg.AllowRetryAfter || maxWait <= 0 {
		return 0
	}
	wait = clamp(wait, nanoseconds(housekeepingInterval), maxWait)
	kept := nanoseconds(1 - p.rng.Float64()*retryJitter)
	return (wait * kept).duration()
}

// closeRequest marks r as finished and cancels its attempts in flight, where the settings allow that.
func (p *Policy) closeRequest(r *request) {
	r.finished = true
	for _, a := range r.attempts {
		if !a.ended {
			p.cancelAttempt(a)
		}
	}
	p.deleteIfComplete(r)
}

// deleteIfComplete forgets r if nothing about it is open.
func (p *Policy) deleteIfComplete(r *request) {
	if r.finished && r.attemptsInFlight == 0 {
		delete(p.requests, r.id())
	}
}
