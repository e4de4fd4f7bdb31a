package policy

import (
	"slices"
	"time"
)

const maxEjectionTime = 8 * time.Second // no worker is ejected for longer without a new look

type health struct {
	lastHeard, lastHealthCheck, lastReset, ejectedUntil time.Duration
	checkingHealth                                      bool
	consecutiveFailures                                 int
	unserved                                            []decayingMean // by class: share of attempts
}

func (w *worker) silentSince() time.Duration { return max(w.lastHeard, w.inFlight[0].sentAt) }

func (p *Policy) recordAlive(w *worker) {
	w.lastHeard, w.consecutiveFailures, w.ejectedUntil = p.now, 0, 0
}

func (p *Policy) eject(w *worker) { // for longer each time
	if p.now >= w.ejectedUntil {
		w.ejectedUntil = p.now + min(sweepInterval<<min(w.consecutiveFailures, 10), maxEjectionTime)
		w.consecutiveFailures++
	}
}

// isEjected reports whether w must answer a health check first or, without health checks, serve one attempt at a time.
func (p *Policy) isEjected(w *worker) bool {
	return w.consecutiveFailures > 0 && (p.cfg.AllowHealthChecks || p.now < w.ejectedUntil || len(w.inFlight) > 0)
}

func (p *Policy) checkSuspects() {
	for _, w := range p.fleet {
		silent := len(w.inFlight) > 0 && p.now-w.lastHealthCheck > 4*housekeepingInterval &&
			p.now-w.silentSince() > 2*(w.inFlight[0].expectedLatency+housekeepingInterval)
		mayReturn := w.consecutiveFailures > 0 && p.now >= w.ejectedUntil
		if w.State != Gone && !w.checkingHealth && (silent || mayReturn) {
			p.checkHealth(w)
		}
	}
}

func (p *Policy) checkHealth(w *worker) bool {
	w.checkingHealth, w.lastHealthCheck = p.emit(CheckHealth{Worker: w.Worker}), p.now
	return w.checkingHealth
}

func (p *Policy) healthCheckEnded(e HealthCheckEnded) {
	w := p.workers[e.Worker]
	if w == nil {
		return
	}
	w.checkingHealth = false
	if e.Outcome != TimedOut && e.Outcome != Unreachable && e.Outcome != ConnectionReset {
		p.recordAlive(w)
		p.observeLoadReport(w, e.LoadReport)
	} else if w.lastHeard < w.lastHealthCheck {
		p.eject(w)
		for _, a := range slices.Clone(w.inFlight) { // what may be sent elsewhere is cancelled
			if r := a.request; !r.finished && !r.responseStarted && !a.cancelled &&
				p.classes[r.Class].repeatableAt(p.now+2*p.cfg.Tick, a.sentAt) {
				a.cancelled = p.emit(CancelAttempt{Request: r.Request, Attempt: a.number})
			}
		}
	}
}

func (p *Policy) learnFromOutcome(a *attempt, e AttemptEnded) {
	w, unserved := a.worker, &a.worker.unserved[a.request.Class]
	switch e.Outcome {
	case Served:
		p.recordAlive(w)
		unserved.observe(p.now, 0)
		a.request.function.served = true
		p.servedWork += p.classes[a.request.Class].runTime.mean
		p.learnFromAnswer(a, e)
	case Errored, WorkerOverloaded, FunctionNotLoaded:
		p.recordAlive(w)
		p.learnFromRejection(a, e)
	case Cancelled, TimedOut: // unanswered to its end; the worker may serve other classes well
		if !a.neededLoad && p.outOfTime(a.request) && e.Duration > outlierClip*a.expectedLatency {
			unserved.observe(p.now, 1)
		}
	case ConnectionReset: // a health check tells whether the worker failed or the connection, else the next dial
		if !w.checkingHealth && w.lastReset != p.now { // one sign for all attempts on the connection
			w.lastReset = p.now
			unserved.observe(p.now, 1)
			p.checkHealth(w)
		}
	case Unreachable:
		p.eject(w)
	}
}

func (p *Policy) learnFromRejection(a *attempt, e AttemptEnded) {
	r, w, i := a.request, a.worker, a.instance
	if e.Outcome == FunctionNotLoaded || e.InstanceStatus == LoadFailed {
		i.forget()
	} else if e.Outcome == WorkerOverloaded && i.inFlight == 0 && !i.loadCommandPending { // it began no load
		i.loadEndsAt = 0
	}
	switch {
	case e.InstanceStatus == LoadFailed:
		p.loadBackoff.extend(p.now, 1)
	case e.Outcome == Errored && r.function.served: // else the request may be to blame
		w.unserved[r.Class].observe(p.now, 1)
	case e.Outcome == WorkerOverloaded && a.expectedWarm():
		r.function.recordSaturation(p.readyWorkers)
		p.observeLoadReport(w, e.LoadReport)
		w.excessDelay.observe(p.now, max(outlierClip*p.predictedRunTime(r), w.excessDelay.value(p.now)))
	}
}
