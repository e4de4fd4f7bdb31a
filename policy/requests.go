package policy

import (
	"math"
	"slices"
	"time"
)

type function struct { // what our requests of it have shown
	id                    FunctionID
	loadTime, lastRequest time.Duration // loadTime: usual, as hinted
	runTime               runTimeEstimate
	served                bool    // by any worker
	saturation            float64 // answers that were late or overloaded, less those that were not
	recentRequests        float64 // before the last one, decaying over rateMemory
}

type request struct { // without a final answer, or with attempts in flight
	RequestArrived
	function                             *function
	deadline                             time.Duration
	quota                                *tokenBucket // nil: its tenant has none
	attempts                             []*attempt
	outstanding                          int       // attempts in flight
	mayHaveRun                           *attempt  // the first that may have
	triedWorkers                         []*worker // rejected or failed it
	overQuota, responseStarted, finished bool
}

type attempt struct { // one send of a request
	request                 *request
	worker                  *worker
	instance                *instance
	sentAt, expectedLatency time.Duration
	number, inFlightBefore  int  // inFlightBefore: our requests at the worker then
	neededLoad, likelyWarm  bool // not known to be loaded there, but likely, for another router
	cancelled, ended        bool // cancelled: by us
}

func (a *attempt) expectedWarm() bool { return !a.neededLoad || a.likelyWarm }

func (p *Policy) requestArrived(e RequestArrived) {
	if e.Class < 0 || e.Class >= len(p.classes) || p.requests[e.Request] != nil {
		return
	}
	p.loadCommands.requests = append(p.within(p.cfg.LoadCommandWindow, p.loadCommands.requests), p.now)
	p.gossip.budget = min(p.gossip.budget+gossipBudgetPerRequest, float64(p.cfg.RouterCount))
	e.TimeLeft = max(e.TimeLeft, 0)
	r := &request{RequestArrived: e, function: p.requestedFunction(e), deadline: p.now + e.TimeLeft}
	p.requests[e.Request] = r
	if e.Tenant >= 0 && e.Tenant < len(p.tenants) {
		r.quota = &p.tenants[e.Tenant]
		r.quota.refill(p.now)
		r.overQuota = r.quota.tokens < 1
	}
	p.emit(SetTimer{After: max(e.TimeLeft-2*p.cfg.Tick, 0), Token: deadlineTokenBase + uint64(e.Request)})
	p.place(r)
	r.function.recentRequests++
}

func (p *Policy) requestedFunction(e RequestArrived) *function {
	f, c := p.functions[e.Function], &p.classes[e.Class]
	if f == nil {
		f = &function{id: e.Function, runTime: runTimeEstimate{mean: c.runTime.mean}}
		p.functions[e.Function] = f
	}
	f.recentRequests *= math.Exp(-float64(p.now-f.lastRequest) / float64(rateMemory))
	f.lastRequest, f.loadTime = p.now, e.LoadTime
	if f.loadTime <= 0 || f.loadTime > time.Hour { // unknown: as long as an answer may take
		f.loadTime = c.LatencyObjective
	}
	return f
}

func (p *Policy) sendAttempt(r *request, w *worker, latency time.Duration, warm bool) {
	load, i := p.remainingLoadTime(w, r), w.instance(r.function.id)
	if !p.emit(SendAttempt{Request: r.Request, Worker: w.Worker}) {
		return
	}
	a := &attempt{request: r, worker: w, instance: i, number: len(r.attempts), sentAt: p.now,
		expectedLatency: latency, inFlightBefore: len(w.inFlight), neededLoad: load > 0, likelyWarm: warm}
	if a.number == 0 && r.quota != nil && !r.overQuota {
		r.quota.tokens-- // not on arrival: a refused request that comes back is the same one
	}
	r.attempts = append(r.attempts, a)
	w.inFlight = append(w.inFlight, a)
	r.outstanding++
	i.inFlight++
	if p.warmingCapacity(w) < 1 {
		w.recentSends = append(w.recentSends, a)
	}
	if a.neededLoad && i.loadEndsAt == 0 && !p.cfg.MissWhenNotLoaded {
		i.loadEndsAt = p.now + time.Duration(load)
	}
	if a.neededLoad && p.loadBackoff.failures > 0 && p.now >= p.loadBackoff.until {
		p.loadBackoff.extend(p.now, 0)
	}
}

func (p *Policy) attemptEnded(e AttemptEnded) {
	r := p.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	a.ended = true
	a.instance.inFlight--
	a.worker.inFlight = slices.DeleteFunc(a.worker.inFlight, func(other *attempt) bool { return other == a })
	r.outstanding--
	if !e.Outcome.NeverRan() && r.mayHaveRun == nil {
		r.mayHaveRun = a
	}
	if e.Outcome != ConnectionReset || a.number > 0 { // a connection may break alone: w has the instance
		r.triedWorkers = append(r.triedWorkers, a.worker)
	}
	e.Duration = min(max(e.Duration, 0), time.Hour)
	p.learnFromOutcome(a, e)
	if e.RequestClosed {
		p.closeRequest(r)
	}
	switch {
	case r.finished || r.outstanding > 0:
	case e.Outcome == FunctionNotLoaded && p.requestLoad(r, a.instance):
	case e.Outcome == NotSent || e.Outcome == TimedOut && p.outOfTime(r):
		p.giveUp(r, 0, DeadlineExceeded)
	default:
		p.place(r)
	}
	p.forgetIfSettled(r)
}

func (p *Policy) objective(r *request) float64 { return float64(p.classes[r.Class].LatencyObjective) }

func (p *Policy) outOfTime(r *request) bool { return p.now >= r.deadline-2*p.cfg.Tick }

func (p *Policy) giveUp(r *request, wait float64, reason UnservedReason) { // wait: in nanoseconds
	refusal := RefuseRequest{Request: r.Request, Reason: reason}
	if most := float64(p.cfg.MaxRetryAfter); p.cfg.AllowRetryAfter && most > 0 {
		wait = clamp(wait, float64(housekeepingInterval), most)
		refusal.RetryAfter = time.Duration(wait * (1 - p.rng.Float64()/2)) // not all at once
	}
	if !r.finished && p.emit(refusal) {
		p.closeRequest(r)
	}
}

func (p *Policy) closeRequest(r *request) {
	r.finished = true
	for _, a := range r.attempts {
		if !a.ended && !a.cancelled {
			a.cancelled = p.emit(CancelAttempt{Request: r.Request, Attempt: a.number})
		}
	}
	p.forgetIfSettled(r)
}

func (p *Policy) forgetIfSettled(r *request) {
	if r.finished && r.outstanding == 0 {
		delete(p.requests, r.Request)
	}
}
