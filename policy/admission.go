package policy

import "time"

const (
	// The ratios of the delay to the latency objective at which load shedding begins. Higher, and queues eat
	// the objective; lower, and requests are shed that would have been served in time.
	shedStart       = 0.5
	shedStartBehind = 0.25 // where a class of more value is served too
	shedStartFirst  = 0.15 // for requests beyond their quota, or late at best

	// shedSlope is how fast the chance to be shed grows with that ratio: from 0 at the start to 1 half an
	// objective later.
	shedSlope = 2

	// maxShedChance bounds the chance to be shed: the requests that are left show when the delay is gone.
	maxShedChance = 0.9

	// moreValuable is how many times the value for its work a class must have to go before another. Higher,
	// and classes of nearly the same value share the shedding; lower, and an estimate's noise decides.
	moreValuable = 1.5

	// explorationInterval is the least time between two requests that are admitted against the estimates.
	// Longer, and a wrong estimate stays; shorter, and more requests are late.
	explorationInterval = time.Second
)

// admit reports whether r is sent to its best target. Otherwise it ends r unserved, at once: because no
// worker is predicted to serve it in time, because it is beyond its quota and late at best, or because load
// is shed. Now and then one request goes against the estimates, so that a wrong one is corrected.
func (p *Policy) admit(r *request, to target) bool {
	latency := to.latency
	if to.likelyWarm {
		latency -= p.remainingLoadTime(to.worker, r)
	}
	shed, drain := p.shouldShed(r, to.worker, latency)
	tooLate := latency > p.timeLeft(r) || r.overQuota && to.score > p.objective(r)
	isRetry := len(r.attempts) > 0
	if !tooLate && (!shed || isRetry) {
		return true
	}
	if p.explore(r) {
		return true
	}
	reason := LoadShed
	if tooLate {
		reason = PredictedTooLate
	}
	p.endUnserved(r, drain, reason)
	return false
}

// explore reports whether r, which the estimates speak against, is sent all the same: one request in
// explorationInterval, and none beyond its quota.
func (p *Policy) explore(r *request) bool {
	if r.overQuota || p.now-p.lastExploration < explorationInterval {
		return false
	}
	p.lastExploration = p.now
	return true
}

// shouldShed draws whether r gives way to others in overload. drain is the time until it would not need to. A
// delay that even the fastest answers show serves nobody, so a growing part of the requests is shed:
//
//	chance = min(shedSlope * (delay/objective - start), maxShedChance)
//
//	delay      the standing delay of all workers or, if longer, the part of w's queue that others make up
//	objective  r's latency objective, or the shortest of the classes that have more value for their work
//	start      the ratio at which shedding begins: lowest for requests beyond their tenant's quota and for
//	           those that are late at best, then for classes of less value than another
func (p *Policy) shouldShed(r *request, w *worker, latency nanoseconds) (shed bool, drain nanoseconds) {
	start, objective := p.shedThreshold(r, latency)
	delay := max(p.estimates.standingDelay, nanoseconds(p.otherRoutersShare())*w.queue.excess(p.now))
	chance := min(shedSlope*(float64(delay/objective)-start), maxShedChance)
	return p.rng.Float64() < chance, delay - nanoseconds(start)*objective
}

// shedThreshold returns the ratio of the delay to an objective at which r may be shed, and that objective.
func (p *Policy) shedThreshold(r *request, latency nanoseconds) (start float64, objective nanoseconds) {
	start = shedStart
	objective = p.objective(r)
	own := p.valueDensity(p.classOf(r))
	for i := range p.classes {
		other := &p.classes[i]
		if p.valueDensity(other) > moreValuable*own {
			start = shedStartBehind
			objective = min(objective, nanoseconds(other.settings.LatencyObjective))
		}
	}
	lateAtBest := latency > p.objective(r)
	switch {
	case r.overQuota:
		start = shedStartFirst * p.cfg.OverQuotaWeight
	case lateAtBest:
		start = shedStartFirst
	}
	return start, objective
}

// valueDensity is the value of a class's requests for the work that they take.
func (p *Policy) valueDensity(c *class) float64 {
	if p.cfg.WeightByWork {
		return c.settings.PriorityWeight
	}
	return c.settings.PriorityWeight / max(float64(c.runTime.mean), 1)
}

// otherRoutersShare is the part of the fleet's traffic that other routers carry.
func (p *Policy) otherRoutersShare() float64 { return 1 - 1/float64(p.cfg.RouterCount) }
