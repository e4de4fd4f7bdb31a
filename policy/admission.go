package policy

import "time"

const (
	// The ratios of the delay to the latency objective at which load shedding begins. With higher values,
	// queueing uses up the objective; with lower values, requests are shed that would be served in time.
	shedStart           = 0.5
	shedStartLowerValue = 0.25 // where the settings have a class of higher value
	shedStartEarliest   = 0.15 // for requests beyond their quota, or predicted to miss their objective

	// shedSlope is the increase of the probability of shedding per unit of that ratio: the probability grows
	// from 0 at the start to 1 when the delay is longer by half an objective.
	shedSlope = 2

	// maxShedChance bounds the probability of shedding: the requests that are still served show when the
	// delay is over.
	maxShedChance = 0.9

	// minValueDensityRatio is the factor by which a class's ratio of value to work must exceed that of
	// another class for the other class to be shed first. With a higher factor, classes of nearly the same
	// value share the shedding; with a lower factor, the noise of an estimate decides which class is shed.
	minValueDensityRatio = 1.5

	// explorationInterval is the shortest time between two requests that are admitted although they are
	// predicted to miss their deadlines, or would be shed. With a longer interval, a wrong estimate lasts
	// longer; with a shorter interval, more requests are late.
	explorationInterval = time.Second
)

// admit reports whether the router sends r to chosen, the worker with the lowest score. If it does not, admit
// ends r unserved at once, for one of these reasons:
//
//   - The chosen worker is predicted to miss r's deadline. Another worker may be predicted to meet it: the
//     preferred worker's bonus always counts in the score, but in the latency only if the function is likely
//     warm at that worker.
//   - r is beyond its tenant's quota, and even the lowest score misses r's latency objective.
//   - Load is shed. A retry is not shed, because work has already been done for its request.
//
// At most once per explorationInterval, a request is admitted although it is predicted to miss its deadline
// or would be shed, so that its answer can correct a wrong estimate. shouldShed draws its random number
// whether or not the result is used.
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

// explore reports whether r is sent although it is predicted to miss its deadline or would be shed. At most
// one request per explorationInterval is sent for this reason, and none that is beyond its tenant's quota.
func (p *Policy) explore(r *request) bool {
	if r.overQuota || p.now-p.lastExploration < explorationInterval {
		return false
	}
	p.lastExploration = p.now
	return true
}

// shouldShed draws at random whether r is shed in overload. drainTime is the time after which the delay is
// predicted to be below the threshold of shedding. While most answers are delayed too long, serving every
// request makes all of them late, so a growing part of the requests is shed:
//
//	chance = min(shedSlope * (delay/objective - start), maxShedChance)
//
//	delay      the longer of the standing delay of the workers that this router uses, and the excess delay
//	           of w's queue times otherRoutersShare; the share is 0 for a single router, since its own
//	           requests cause the excess
//	objective  the shortest of r's latency objective and the objectives of the classes whose ratio of value
//	           to work is more than minValueDensityRatio times that of r's class
//	start      the ratio at which shedding begins, by the first case that applies: shedStartEarliest times
//	           OverQuotaWeight for a request beyond its tenant's quota; shedStartEarliest for a request
//	           whose predicted latency misses its objective; shedStartLowerValue if a class with such a
//	           higher ratio of value to work exists; else shedStart
//
// The function draws once per call, whatever the chance: skipping a draw would change all later draws.
func (p *Policy) shouldShed(r *request, w *worker, latency nanoseconds) (shed bool, drainTime nanoseconds) {
	start, objective := p.shedThreshold(r, latency)
	delay := max(p.estimates.standingDelay, nanoseconds(p.otherRoutersShare())*w.queue.excess(p.now))
	chance := min(shedSlope*(float64(delay/objective)-start), maxShedChance)
	return p.rng.Float64() < chance, delay - nanoseconds(start)*objective
}

// shedThreshold returns the ratio of the delay to an objective above which r may be shed, and that objective.
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

// valueDensity is the ratio of the value of a class's requests to the work that they take.
func (p *Policy) valueDensity(c *class) float64 {
	if p.cfg.WeightByWork {
		return c.settings.PriorityWeight
	}
	return c.settings.PriorityWeight / max(float64(c.runTime.mean), 1)
}

// otherRoutersShare is the part of the fleet's traffic that the other routers carry.
func (p *Policy) otherRoutersShare() float64 { return 1 - 1/float64(p.cfg.RouterCount) }
