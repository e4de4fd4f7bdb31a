package policy

import (
	"slices"
	"time"
)

const (
	// firstEjectionTime is how long a worker is ejected at first; each further failure in a row doubles it.
	// Longer, and a worker that is well again stays idle; shorter, and a dead one is tried often.
	firstEjectionTime = time.Second

	// maxEjectionTime bounds the time of an ejection: a worker that is well again is noticed at most this
	// late.
	maxEjectionTime = 8 * time.Second

	// maxEjectionDoublings keeps the doubled time from overflowing; maxEjectionTime is reached long before.
	maxEjectionDoublings = 10

	// minHealthCheckInterval is the least time between two health checks of a worker that is silent. Shorter,
	// and a slow worker is asked in vain; longer, and a dead one keeps its attempts.
	minHealthCheckInterval = 4 * housekeepingInterval

	// cancelTicks is how many ticks pass at most until a cancelled attempt's request is sent elsewhere: one
	// until the attempt's end is known, one until the next attempt is at its worker.
	cancelTicks = 2

	// silenceFactor bounds the silence of a worker with attempts in flight: its health is checked after this
	// multiple of the expected latency and one housekeepingInterval. Higher, and a dead worker is noticed
	// late; lower, and slow ones are checked for nothing.
	silenceFactor = 2
)

// health is what the policy knows of whether a worker serves.
type health struct {
	lastAnswer          time.Duration // when it last answered anything
	lastHealthCheck     time.Duration // when its health was last checked
	checkPending        bool          // that health check has no result yet
	lastReset           time.Duration // when a connection to it last broke under an attempt
	consecutiveFailures int           // ejections since it last answered
	ejectedUntil        time.Duration
	unserved            []decayingMean // by class: the share of attempts that it left unserved
}

// silentSince is when w last answered anything, or when the oldest attempt in flight was sent if that is
// later. There must be one.
func (w *worker) silentSince() time.Duration { return max(w.health.lastAnswer, w.inFlight[0].sentAt) }

// recordWorkerAnswered records that w has answered: it is not ejected any more.
func (p *Policy) recordWorkerAnswered(w *worker) {
	w.health.lastAnswer = p.now
	w.health.consecutiveFailures = 0
	w.health.ejectedUntil = 0
}

// eject keeps requests off w, for longer each time in a row. A failure while it is ejected already counts for
// nothing.
func (p *Policy) eject(w *worker) {
	h := &w.health
	if p.now < h.ejectedUntil {
		return
	}
	doublings := min(h.consecutiveFailures, maxEjectionDoublings)
	h.ejectedUntil = p.now + min(firstEjectionTime<<doublings, maxEjectionTime)
	h.consecutiveFailures++
}

// isEjected reports whether w takes no requests: it must answer a health check first or, where none may be
// sent, its time must be over and one attempt at a time may try it.
func (p *Policy) isEjected(w *worker) bool {
	if w.health.consecutiveFailures == 0 {
		return false
	}
	return p.cfg.AllowHealthChecks || p.now < w.health.ejectedUntil || len(w.inFlight) > 0
}

// sendDueHealthChecks checks the health of workers that are silent for too long, and of those whose ejection is
// over.
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

// isSilent reports whether w has had attempts in flight for suspiciously long without any answer, and was not
// checked lately.
func (p *Policy) isSilent(w *worker) bool {
	if len(w.inFlight) == 0 || p.now-w.health.lastHealthCheck <= minHealthCheckInterval {
		return false
	}
	expected := w.inFlight[0].expectedLatency + housekeepingInterval
	return p.now-w.silentSince() > silenceFactor*expected
}

// ejectionExpired reports whether w's ejection is over, so that a health check may end it.
func (p *Policy) ejectionExpired(w *worker) bool {
	return w.health.consecutiveFailures > 0 && p.now >= w.health.ejectedUntil
}

// checkHealth sends w a health check, and reports whether the settings allowed one. Where they do not, the
// time is recorded all the same, so that a silent worker is looked at no more often.
func (p *Policy) checkHealth(w *worker) bool {
	w.health.checkPending = p.emit(CheckHealth{Worker: w.id()})
	w.health.lastHealthCheck = p.now
	return w.health.checkPending
}

// healthCheckEnded takes the result of a health check. A worker that answered nothing since it was sent is
// ejected, and its attempts are cancelled where their requests may go elsewhere.
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

// cancelRepeatableAttempts cancels the attempts at w whose requests may be sent elsewhere once they have
// ended, judged by the class and the attempt's own age alone: the rules may still forbid the repeat, for the
// attempts that are used up, the DedupScope, or an earlier attempt that may have run.
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
