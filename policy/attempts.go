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
	expectedLatency time.Duration // latency that was predicted when the attempt was sent
	number          int           // position among the request's attempts, from 0
	inFlightBefore  int           // this router's attempts in flight at the worker before this one was sent
	wasCold         bool          // the function was assumed to be absent from the worker or still loading
	likelyWarm      bool          // the function was probably loaded without this router's knowledge
	cancelled       bool          // the router has cancelled the attempt
	ended           bool
}

// expectedWarm reports whether the prediction assumed that the attempt does not have to wait for a load.
func (a *attempt) expectedWarm() bool { return !a.wasCold || a.likelyWarm }

// sendAttempt sends r to a worker and records the attempt. If a rule forbids the attempt, sendAttempt sends
// and records nothing; this does not happen, because place has just checked the same rules.
//
// The order of the steps matters: the remaining load time is read before the attempt is in flight, because an
// attempt in flight makes its instance count as warm. The quota is charged and inFlightBefore is read before
// the attempt is counted.
func (p *Policy) sendAttempt(r *request, chosen target) {
	w := chosen.worker
	loadTime := p.remainingLoadTime(w, r)
	i := w.instance(r.function.id)
	if !p.emit(SendAttempt{Request: r.id(), Worker: w.id(), SendWithin: p.sendWithin(r)}) {
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
		wasCold:         loadTime > 0,
		likelyWarm:      chosen.likelyWarm,
	}
	chargeQuota(r)
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	w.inFlight = append(w.inFlight, a)
	i.inFlight++
	p.recordSlowStartSend(a)
	p.recordAwaitedLoad(a, loadTime)
}

// recordAwaitedLoad records the load that a begins or awaits. It does nothing if the function was assumed
// warm when a was sent. A load that is under way keeps its expected end. If MissWhenNotLoaded is set,
// attempts begin no loads, and recordAwaitedLoad records none. If loads have failed and the pause after the
// last failure has ended, recordAwaitedLoad begins another pause of the same length.
func (p *Policy) recordAwaitedLoad(a *attempt, loadTime nanoseconds) {
	if !a.wasCold {
		return
	}
	if a.instance.loadEndsAt == 0 && !p.cfg.MissWhenNotLoaded {
		a.instance.loadEndsAt = p.now + loadTime.duration()
	}
	if p.loadBackoff.pauseEnded(p.now) {
		p.loadBackoff.extend(p.now, 0) // the result of this load shows whether other loads may begin
	}
}

// cancelAttempt cancels an attempt in flight if the settings allow it. An AttemptEnded event still follows.
func (p *Policy) cancelAttempt(a *attempt) {
	if !a.cancelled {
		a.cancelled = p.emit(CancelAttempt{Request: a.request.id(), Attempt: a.number})
	}
}

// attemptEnded removes an attempt from the attempts in flight, updates the estimates from its result, and
// decides what happens to its request next. It ignores results of unknown attempts and of attempts that have
// already ended.
//
// The order of the steps matters: learnFromOutcome reads how many attempts are left in flight, and it may
// clear the load state of the instance, which continueAfter may set again with a load command.
func (p *Policy) attemptEnded(e AttemptEnded) {
	a := p.openAttempt(e)
	if a == nil {
		return
	}
	r := a.request
	p.recordAttemptEnd(a, e.Outcome)
	if e.AnswerCorrupted {
		r.repeatAt = a.worker
	}
	e.Duration = min(max(e.Duration, 0), longestPlausibleTime)
	p.learnFromOutcome(a, e)
	if e.RequestClosed {
		p.closeRequest(r)
	}
	p.continueAfter(a, e.Outcome)
	p.deleteIfComplete(r)
}

// openAttempt returns the attempt that e reports on, or nil if that attempt is unknown or has already ended.
func (p *Policy) openAttempt(e AttemptEnded) *attempt {
	r := p.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return nil
	}
	return r.attempts[e.Attempt]
}

// recordAttemptEnd removes a from the attempts in flight, and records whether its request may have run and
// whether the policy may try the worker again for the request.
func (p *Policy) recordAttemptEnd(a *attempt, outcome Outcome) {
	r := a.request
	a.ended = true
	a.instance.inFlight--
	a.worker.inFlight = slices.DeleteFunc(a.worker.inFlight, func(other *attempt) bool { return other == a })
	r.attemptsInFlight--
	if !outcome.NeverRan() && r.mayHaveRun == nil {
		r.mayHaveRun = a
	}
	// A reset may affect a single connection only. The worker, which may have the function loaded, is
	// therefore tried once more over another connection.
	firstReset := outcome == ConnectionReset && a.number == 0
	if !firstReset {
		r.triedWorkers = append(r.triedWorkers, a.worker)
	}
}

// continueAfter decides what happens to the request of an ended attempt next: the request waits for a load,
// ends unserved or is placed again. A finished request stays as it is.
func (p *Policy) continueAfter(a *attempt, outcome Outcome) {
	r := a.request
	if r.finished || r.attemptsInFlight > 0 {
		return
	}
	if outcome == FunctionNotLoaded && p.waitForLoad(r, a.instance) {
		return
	}
	// NotSent usually means that no time was left. If a fault of the router's machine caused it, the request
	// ends in the same way.
	noTimeLeft := outcome == NotSent || outcome == TimedOut && p.outOfTime(r)
	if noTimeLeft {
		p.endUnserved(r, 0, DeadlineExceeded)
		return
	}
	p.place(r)
}
