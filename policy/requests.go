package policy

import "time"

const (
	// longestPlausibleTime bounds the times that clients and workers report. A longer load time counts as
	// unknown. A work hint of this time or longer is not used to predict a run time, but the ratio of real to
	// hinted run times counts it as this time. A longer duration of an attempt counts as this time.
	longestPlausibleTime = time.Hour

	// answerMarginTicks is the number of ticks between a request's final answer and its deadline. One tick
	// may pass until the timer fires, and one until the answer has left the router.
	answerMarginTicks = 2

	// retryJitter is the largest share by which a Retry-After is reduced at random. With a higher value, some
	// clients retry too early; with a lower value, clients that were refused together retry together.
	retryJitter = 0.5
)

// request is a request that has no final answer yet, or has attempts in flight. It is in one of these states:
//
//	waiting to be placed  in Policy.waiting: no worker may take it now
//	waiting for a load    in instance.waiting: a load command has no answer yet
//	in flight             attemptsInFlight is 1
//	finished              it needs no answer, but an attempt is in flight: the worker may still run it
//
// It is deleted once it is finished and no attempt is in flight.
type request struct {
	arrived          RequestArrived // as received, with a TimeLeft of at least 0
	function         *function
	deadline         time.Duration
	quota            *tokenBucket // quota of its tenant; nil: the tenant is unknown
	attempts         []*attempt   // in the order in which they were sent
	attemptsInFlight int
	mayHaveRun       *attempt   // the first attempt that may have run; nil: none
	triedWorkers     []*worker  // workers that the policy does not try again; see recordAttemptEnd
	repeatAt         *worker    // the worker to prefer for the next attempt; nil: none. See preferRepeat
	overQuota        bool       // its tenant's quota was used up when it arrived
	waitsIn          *waitQueue // the queue that the request waits in; nil: none
	responseStarted  bool       // part of the response has reached the client
	finished         bool       // it has its final answer or needs none
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

// answerMargin is the time between the latest time for a request's final answer and the request's deadline.
func (p *Policy) answerMargin() time.Duration { return answerMarginTicks * p.cfg.Tick }

// outOfTime reports whether r's final answer is due.
func (p *Policy) outOfTime(r *request) bool { return p.now >= r.deadline-p.answerMargin() }

// requestArrived registers a new request, sets the timer for its deadline and places it. A request of an
// unknown class or with an id that is in use is ignored.
func (p *Policy) requestArrived(e RequestArrived) {
	if e.Class < 0 || e.Class >= len(p.classes) || p.requests[e.Request] != nil {
		return
	}
	p.loadCommands.recordRequest(p.now)
	p.gossip.addBudget(p.cfg.RouterCount)
	p.limitFunctions()
	e.TimeLeft = max(e.TimeLeft, 0)
	r := &request{arrived: e, function: p.recordFunctionRequest(e), deadline: p.now + e.TimeLeft}
	p.requests[e.Request] = r
	if e.EarlierRun != nil && !p.resume(r, e.EarlierRun) {
		return
	}
	p.assignQuota(r)
	p.setTimer(max(e.TimeLeft-p.answerMargin(), 0), timer{kind: deadlineTimer, request: e.Request})
	p.place(r)
	r.function.recentRequests++ // after placing r, because the placement of r must not count r itself
}

// resume makes r, which has just arrived, a repeat of an earlier request with the same id. It ends r and
// returns false if the class does not allow a repeat now.
func (p *Policy) resume(r *request, run *EarlierRun) (mayBeRepeated bool) {
	w := p.workers[run.Worker]
	if w == nil { // shares no zone and no cell with any worker
		w = &worker{endpoint: Endpoint{Worker: run.Worker, Zone: unknownPlace, Cell: unknownPlace}}
	}
	r.mayHaveRun = &attempt{request: r, worker: w, sentAt: run.SentAt, ended: true}
	if p.classOf(r).settings.repeatableAt(p.now+p.cfg.Tick, run.SentAt) {
		return true
	}
	p.endUnserved(r, 0, RepeatNotAllowed)
	return false
}

// unknownPlace is the zone and the cell of a worker that is not listed any more.
const unknownPlace = -1

// responseStarted records that part of a response has reached the client. Another attempt would send the
// client a second response.
func (p *Policy) responseStarted(e ResponseStarted) {
	if r := p.requests[e.Request]; r != nil {
		r.responseStarted = true
	}
}

// clientCancelled closes a request that needs no answer from the policy; see ClientCancelled.
func (p *Policy) clientCancelled(e ClientCancelled) {
	if r := p.requests[e.Request]; r != nil {
		p.closeRequest(r)
	}
}

// deadlineReached ends a request whose time has run out, unless its response has begun to reach the client:
// that response is its final answer.
func (p *Policy) deadlineReached(id RequestID) {
	if r := p.requests[id]; r != nil && !r.responseStarted {
		p.endUnserved(r, 0, DeadlineExceeded)
	}
}

// endUnserved ends r at once without a result: with a refusal, which emit turns into a failure unless a
// repeat is harmless. wait is the time after which a retry is more likely to be served, 0 if that is not
// known. The Retry-After is drawn even if r already has its answer, because skipping a draw would change all
// later draws.
func (p *Policy) endUnserved(r *request, wait nanoseconds, reason UnservedReason) {
	refusal := RefuseRequest{Request: r.id(), RetryAfter: p.retryAfter(wait), Reason: reason}
	if !r.finished && p.emit(refusal) {
		p.closeRequest(r)
	}
}

// retryAfter returns the time after which the client should retry: wait, limited to the range from
// housekeepingInterval to MaxRetryAfter, less a random part. It is 0 if the settings do not allow a
// Retry-After.
func (p *Policy) retryAfter(wait nanoseconds) time.Duration {
	maxWait := nanoseconds(p.cfg.MaxRetryAfter)
	if !p.cfg.AllowRetryAfter || maxWait <= 0 {
		return 0
	}
	wait = clamp(wait, nanoseconds(housekeepingInterval), maxWait)
	kept := nanoseconds(1 - p.rng.Float64()*retryJitter)
	return (wait * kept).duration()
}

// closeRequest marks r as finished and cancels its attempts in flight, if the settings allow cancellation.
func (p *Policy) closeRequest(r *request) {
	if r.waitsIn != nil && !r.finished {
		r.finished = true
		r.waitsIn.requestFinished()
	}
	r.finished = true
	for _, a := range r.attempts {
		if !a.ended {
			p.cancelAttempt(a)
		}
	}
	p.deleteIfComplete(r)
}

// deleteIfComplete deletes r if it is finished and has no attempt in flight.
func (p *Policy) deleteIfComplete(r *request) {
	if r.finished && r.attemptsInFlight == 0 {
		delete(p.requests, r.id())
	}
}
