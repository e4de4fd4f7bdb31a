package policy

import "time"

const (
	// The ratios of the delay to the latency objective at which load shedding begins. Higher, and queues eat
	// the objective; lower, and requests are shed that would have been served in time.
	shedStart           = 0.5
	shedStartLowerValue = 0.25 // where the settings have a class of more value
	shedStartEarliest   = 0.15 // for requests beyond their quota, or predicted to miss their objective

	// shedSlope is how fast the chance to be shed grows with that ratio: from 0 at the start to 1 half an
	// objective later.
	shedSlope = 2

	// maxShedChance bounds the chance to be shed: the requests that are left show when the delay is gone.
	maxShedChance = 0.9

	// minValueDensityRatio is how many times the value for its work a class must have to go before another. Higher,
	// and classes of nearly the same value share the shedding; lower, and an estimate's noise decides.
	minValueDensityRatio = 1.5

	// explorationInterval is the least time between two requests that are admitted against the estimates.
	// Longer, and a wrong estimate stays; shorter, and more requests are late.
	explorationInterval = time.Second
)

// admit reports whether r is sent to its target, the worker with the lowest score. Otherwise it ends r
// unserved, at once:
//
//   - because the target is predicted to miss r's deadline. Another worker may not be: the preferred worker's
//     bonus counts in the score, and in the latency only if the function is likely warm there;
//   - because r is beyond its tenant's quota and even the lowest score misses its latency objective;
//   - because load is shed. A retry is not shed: work was done for it already.
//
// Now and then one request goes against the estimates, so that a wrong one is corrected. The draw in
// shouldShed is made in every case.
func (p *Policy) admit(r *request, chosen target) bool {
	latency := chosen.latency
	if chosen.likelyWarm {
		latency -= p.remainingLoadTime(chosen.worker, r)
	}
	shed, drainTime := p.shouldShed(r, chosen.worker, latency)
	missesDeadline := latency > p.timeLeft(r)
	lateBeyondQuota := r.overQuota && chosen.score > p.objective(r)
	tooLate := missesDeadline || lateBeyondQuota
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
	p.endUnserved(r, drainTime, reason)
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
// delay that most answers exceed serves nobody, so a growing part of the requests is shed:
//
//	chance = min(shedSlope * (delay/objective - start), maxShedChance)
//
//	delay      the standing delay of the workers that we use or, if longer, the excess of w's queue times
//	           otherRoutersShare, which is 0 for a lone router: its excess is its own doing
//	objective  the shortest of r's latency objective and those of the classes with more than moreValuable
//	           times the value for their work
//	start      the ratio at which shedding begins: shedStartFirst times OverQuotaWeight for requests beyond
//	           their tenant's quota; shedStartFirst for those whose latency misses their objective; then
//	           shedStartBehind where such a class of more value exists, else shedStart
//
// It draws once in every case: a short cut would shift all later draws.
func (p *Policy) shouldShed(r *request, w *worker, latency nanoseconds) (shed bool, drainTime nanoseconds) {
	start, objective := p.shedThreshold(r, latency)
	delay := max(p.estimates.standingDelay, nanoseconds(p.otherRoutersShare())*w.queue.excess(p.now))
	chance := min(shedSlope*(float64(delay/objective)-start), maxShedChance)
	return p.rng.Float64() < chance, delay - nanoseconds(start)*objective
}

// shedThreshold returns the ratio of the delay to an objective at which r may be shed, and that objective.
func (p *Policy) shedThreshold(r *request, latency nanoseconds) (start float64, objective nanoseconds) {
	start = shedStart
	objective = p.objective(r)
	density := p.valueDensity(p.classOf(r))
	for i := range p.classes {
		otherClass := &p.classes[i]
		if p.valueDensity(otherClass) > minValueDensityRatio*density {
			start = shedStartLowerValue
			objective = min(objective, nanoseconds(otherClass.settings.LatencyObjective))
		}
	}
	missesObjective := latency > p.objective(r)
	switch {
	case r.overQuota:
		start = shedStartEarliest * p.cfg.OverQuotaWeight
	case missesObjective:
		start = shedStartEarliest
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
