package policy

import (
	"slices"
	"time"
)

// attempt is one send of a request to a worker.
type attempt struct {
	request         *request
	worker          *worker
	instance        *instance
	sentAt          time.Duration
	expectedLatency time.Duration // the prediction when it was sent
	number          int           // among the request's attempts, from 0
	inFlightBefore  int           // our attempts in flight at the worker when it was sent
	wasCold         bool          // no instance was believed warm there: it was absent or still loading
	likelyWarm      bool          // but another router had probably had it loaded
	cancelled       bool          // by us; its end may still come
	ended           bool
}

// expectedWarm reports whether a load would be a surprise.
func (a *attempt) expectedWarm() bool { return !a.wasCold || a.likelyWarm }

// sendAttempt sends r to a worker and records the attempt. If a rule forbids it, nothing changes; place has
// just checked the same rules, so that does not happen.
//
// The order counts: the load is read before the attempt is in flight, which makes its instance warm; the
// quota is charged and inFlightBefore taken before the attempt is counted.
func (p *Policy) sendAttempt(r *request, chosen target) {
	w := chosen.worker
	load := p.remainingLoadTime(w, r)
	i := w.instance(r.function.id)
	if !p.emit(SendAttempt{Request: r.id(), Worker: w.id()}) {
		return
	}
	a := &attempt{
		request:         r,
		worker:          w,
		instance:        i,
		sentAt:          p.now,
		expectedLatency: chosen.latency.duration(),
		number:          len(r.attempts),
		inFlightBefore:  len(w.inFlight),
		wasCold:         load > 0,
		likelyWarm:      chosen.likelyWarm,
	}
	chargeQuota(r)
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	w.inFlight = append(w.inFlight, a)
	i.inFlight++
	p.recordSlowStartSend(a)
	p.recordAwaitedLoad(a, load)
}

// recordAwaitedLoad records the load that a begins or awaits, if its function was not warm. A load that is
// under way keeps its expected end. While loads fail, either kind restarts the pause before the next one.
func (p *Policy) recordAwaitedLoad(a *attempt, load nanoseconds) {
	if !a.wasCold {
		return
	}
	if a.instance.loadEndsAt == 0 && !p.cfg.MissWhenNotLoaded {
		a.instance.loadEndsAt = p.now + load.duration()
	}
	if p.loadBackoff.pauseEnded(p.now) {
		p.loadBackoff.extend(p.now, 0) // this load shows whether others may begin
	}
}

// cancelAttempt cancels an attempt in flight where the settings allow it. Its AttemptEnded still comes.
func (p *Policy) cancelAttempt(a *attempt) {
	if !a.cancelled {
		a.cancelled = p.emit(CancelAttempt{Request: a.request.id(), Attempt: a.number})
	}
}

// attemptEnded takes an attempt out of what is in flight, learns from its end, and decides what its request
// does next. Reports on unknown attempts and on those that have ended are ignored.
//
// The order counts: learning reads how many attempts are left in flight, and may drop the belief of a load
// that the next step commands.
func (p *Policy) attemptEnded(e AttemptEnded) {
	a := p.openAttempt(e)
	if a == nil {
		return
	}
	r := a.request
	p.recordAttemptEnd(a, e.Outcome)
	e.Duration = min(max(e.Duration, 0), longestPlausibleTime)
	p.learnFromOutcome(a, e)
	if e.RequestClosed {
		p.closeRequest(r)
	}
	p.continueAfter(a, e.Outcome)
	p.deleteIfComplete(r)
}

// openAttempt returns the attempt that e reports on, or nil if there is none that has not ended.
func (p *Policy) openAttempt(e AttemptEnded) *attempt {
	r := p.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return nil
	}
	return r.attempts[e.Attempt]
}

// recordAttemptEnd takes a out of what is in flight, and records whether its request may have run.
func (p *Policy) recordAttemptEnd(a *attempt, outcome Outcome) {
	r := a.request
	a.ended = true
	a.instance.inFlight--
	a.worker.inFlight = slices.DeleteFunc(a.worker.inFlight, func(other *attempt) bool { return other == a })
	r.attemptsInFlight--
	if !outcome.NeverRan() && r.mayHaveRun == nil {
		r.mayHaveRun = a
	}
	// A connection may break alone: the worker, which has the instance, is tried once more over another one.
	firstReset := outcome == ConnectionReset && a.number == 0
	if !firstReset {
		r.triedWorkers = append(r.triedWorkers, a.worker)
	}
}

// continueAfter decides what the request of an ended attempt does next: it waits for a load, ends or goes
// elsewhere.
func (p *Policy) continueAfter(a *attempt, outcome Outcome) {
	r := a.request
	if r.finished || r.attemptsInFlight > 0 {
		return
	}
	if outcome == FunctionNotLoaded && p.waitForLoad(r, a.instance) {
		return
	}
	// NotSent mostly means that no time was left; a fault of this machine ends the request alike.
	noTimeLeft := outcome == NotSent || outcome == TimedOut && p.outOfTime(r)
	if noTimeLeft {
		p.endUnserved(r, 0, DeadlineExceeded)
		return
	}
	p.place(r)
}
