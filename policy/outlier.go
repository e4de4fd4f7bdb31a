package policy

import (
	"slices"
	"time"
)

const (
	// firstEjectionTime is the duration of the first ejection; each further ejection in a row doubles it.
	// With a longer time, a recovered worker stays idle; with a shorter time, a failed one is tried often.
	firstEjectionTime = time.Second

	// maxEjectionTime is the longest duration of an ejection; after it, the policy checks or tries the worker
	// again, so that it notices a recovered worker.
	maxEjectionTime = 8 * time.Second

	// maxEjectionDoublings keeps the doubled time from overflowing. maxEjectionTime is reached with fewer
	// doublings.
	maxEjectionDoublings = 10

	// minHealthCheckInterval is the shortest time between two health checks of a silent worker. With a
	// shorter time, a slow worker is checked without need; with a longer time, attempts stay longer at a
	// failed worker.
	minHealthCheckInterval = 4 * housekeepingInterval

	// cancelTicks is the largest number of ticks from the cancellation of an attempt to the arrival of the
	// next attempt at its worker: one tick until the policy learns that the cancelled attempt has ended, and
	// one until the next attempt is at its worker.
	cancelTicks = 2

	// silenceFactor determines when a worker with attempts in flight counts as silent: when it has not
	// answered for more than this multiple of the sum of the expected latency and one housekeepingInterval.
	// The policy then checks its health. With a higher factor, a failed worker is noticed late; with a lower
	// factor, slow workers are checked without need.
	silenceFactor = 2
)

// health holds what the policy knows about whether a worker serves requests.
type health struct {
	lastAnswer           time.Duration // when the worker last answered anything
	lastHealthCheck      time.Duration // when the policy last sent or tried to send a health check
	checkPending         bool          // the latest health check has no result yet
	lastReset            time.Duration // when a connection to it last broke during an attempt
	consecutiveEjections int           // ejections since it last answered
	ejectedUntil         time.Duration
	unserved             []decayingMean // by class: the share of attempts that the worker left unserved
}

// silentSince is when w last answered anything or, if that is later, when its oldest attempt in flight was
// sent. At least one attempt must be in flight.
func (w *worker) silentSince() time.Duration { return max(w.health.lastAnswer, w.inFlight[0].sentAt) }

// recordWorkerAnswered records that w has answered, which ends an ejection.
func (p *Policy) recordWorkerAnswered(w *worker) {
	w.health.lastAnswer = p.now
	w.health.consecutiveEjections = 0
	w.health.ejectedUntil = 0
}

// eject ejects w for a time, in which w gets no requests. Each further ejection in a row lasts longer, up to
// maxEjectionTime. eject has no effect before the time of an earlier ejection is over.
func (p *Policy) eject(w *worker) {
	h := &w.health
	if p.now < h.ejectedUntil {
		return
	}
	doublings := min(h.consecutiveEjections, maxEjectionDoublings)
	h.ejectedUntil = p.now + min(firstEjectionTime<<doublings, maxEjectionTime)
	h.consecutiveEjections++
}

// isEjected reports whether w takes no requests because it is ejected. If health checks are allowed, w stays
// ejected until it answers a health check or anything else. If they are not allowed, w may get one trial
// attempt at a time once its ejection time is over.
func (p *Policy) isEjected(w *worker) bool {
	if w.health.consecutiveEjections == 0 {
		return false
	}
	return p.cfg.AllowHealthChecks || p.now < w.health.ejectedUntil || len(w.inFlight) > 0
}

// sendDueHealthChecks checks the health of workers that have been silent for too long, and of workers whose
// ejection time is over.
func (p *Policy) sendDueHealthChecks() {
	for _, w := range p.fleet {
		if w.endpoint.State == Gone || w.health.checkPending {
			continue
		}
		if p.isSilent(w) || p.ejectionExpired(w) {
			p.checkHealth(w)
		}
	}
}

// isSilent reports whether w has had attempts in flight for too long without any answer, and was not checked
// recently.
func (p *Policy) isSilent(w *worker) bool {
	if len(w.inFlight) == 0 || p.now-w.health.lastHealthCheck <= minHealthCheckInterval {
		return false
	}
	expected := w.inFlight[0].expectedLatency + housekeepingInterval
	return p.now-w.silentSince() > silenceFactor*expected
}

// ejectionExpired reports whether w's ejection time is over, so that a health check may end the ejection.
func (p *Policy) ejectionExpired(w *worker) bool {
	return w.health.consecutiveEjections > 0 && p.now >= w.health.ejectedUntil
}

// checkHealth sends w a health check, and reports whether the settings allowed it. The time of the check is
// recorded even if they did not, so that isSilent does not report w again within minHealthCheckInterval.
func (p *Policy) checkHealth(w *worker) bool {
	w.health.checkPending = p.emit(CheckHealth{Worker: w.id()})
	w.health.lastHealthCheck = p.now
	return w.health.checkPending
}

// healthCheckEnded handles the result of a health check. If the check failed and the worker has answered
// nothing since the check was sent, healthCheckEnded ejects the worker and cancels those of its attempts
// whose requests may be sent elsewhere.
func (p *Policy) healthCheckEnded(e HealthCheckEnded) {
	w := p.workers[e.Worker]
	if w == nil {
		return
	}
	w.health.checkPending = false
	switch e.Outcome {
	case TimedOut, Unreachable, ConnectionReset:
		if w.health.lastAnswer < w.health.lastHealthCheck {
			p.eject(w)
			p.cancelRepeatableAttempts(w)
		}
	default:
		p.recordWorkerAnswered(w)
		p.observeLoadReport(w, e.LoadReport)
	}
}

// cancelRepeatableAttempts cancels the attempts at w whose requests may be sent elsewhere once the attempts
// have ended. It checks only the request's class and the age of the attempt. The rules may still forbid the
// repeat because MaxAttempts is reached, because the next worker does not share the DedupScope, or because of
// an earlier attempt that may have run.
func (p *Policy) cancelRepeatableAttempts(w *worker) {
	repeatedAt := p.now + cancelTicks*p.cfg.Tick
	for _, a := range slices.Clone(w.inFlight) {
		r := a.request
		open := !r.finished && !r.responseStarted
		if open && p.classOf(r).settings.repeatableAt(repeatedAt, a.sentAt) {
			p.cancelAttempt(a)
		}
	}
}
