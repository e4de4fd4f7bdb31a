package policy

import "time"

const (
	// shedStart is the ratio of delay to latency objective at which load shedding begins; shouldShed defines
	// the delay. The next two constants replace shedStart for some requests. With higher values of the three,
	// queueing uses up the objective; with lower values, requests are shed that would be served in time.
	shedStart = 0.5
	// shedStartLowerValue replaces shedStart for a request if the value density of another class is more than
	// minValueDensityRatio times that of the request's class.
	shedStartLowerValue = 0.25
	// shedStartLateOrOverQuota replaces shedStart and shedStartLowerValue for requests that are predicted to
	// miss their latency objective or are beyond their tenant's quota. If a request is beyond the quota, the
	// ratio is shedStartLateOrOverQuota times OverQuotaWeight.
	shedStartLateOrOverQuota = 0.15

	// shedSlope is the increase of the shedding probability per unit of the ratio of delay to latency
	// objective: a delay that is longer by half an objective raises the probability by 1. maxShedProbability
	// limits the probability.
	shedSlope = 2

	// maxShedProbability limits the shedding probability, so that some requests are still served: their
	// answers show when the delay is over.
	maxShedProbability = 0.9

	// minValueDensityRatio is the factor by which a class's value density must exceed that of another class
	// for the other class to be shed first. With a higher factor, classes of clearly different value are shed
	// alike; with a lower factor, the noise of an estimate decides which class is shed first.
	minValueDensityRatio = 1.5

	// explorationInterval is the shortest time between two requests that are admitted although they are
	// predicted to miss their deadlines or would be shed. With a longer interval, a wrong estimate lasts
	// longer; with a shorter interval, more requests are late.
	explorationInterval = time.Second
)

// admit reports whether the router sends r to chosen, the result of lowestScore: a worker that is drawn from
// the candidates whose scores are at most one Tick above the lowest score. If the router does not send r,
// admit ends r unserved at once, for one of these reasons:
//
//   - The predicted latency at the chosen worker is longer than the time until r's deadline. Another
//     candidate may have a shorter predicted latency, for two reasons: scores are not latencies, because the
//     score of the preferred worker is always reduced by the bonus that lowestScore describes; and the scores
//     of the candidates that the chosen worker is drawn from may differ by up to one Tick.
//   - r is beyond its tenant's quota, and even the lowest score exceeds r's latency objective.
//   - r is shed because of overload; see shouldShed. A retry is not shed, whatever the outcomes of the
//     earlier attempts were, because a worker may already have done work for r.
//
// If the function is likely warm at the chosen worker, admit subtracts the predicted load time from the
// predicted latency there. It uses the reduced latency for the check of the deadline and passes it to
// shouldShed.
//
// At most once per explorationInterval, a request that is not beyond its tenant's quota is admitted although
// it is predicted to miss its deadline or would be shed, so that its answer can correct a wrong estimate.
//
// admit always calls shouldShed, even if the result does not affect whether r is admitted. The reason is that
// shouldShed draws a random number, and skipping a draw would change all later draws.
func (p *Policy) admit(r *request, chosen target) bool {
	latency := chosen.latency
	if chosen.likelyWarm {
		latency -= p.remainingLoadTime(chosen.worker, r)
	}
	shed, recoveryTime := p.shouldShed(r, chosen.worker, latency)
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
	p.endUnserved(r, recoveryTime, reason)
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

// shouldShed draws at random whether r is shed in overload. While most answers are delayed too long, serving
// every request makes all of them late, so the policy sheds a part of the requests that grows with the delay:
//
//	probability = min(shedSlope * (delay/objective - start), maxShedProbability)
//
//	delay      the longer of two delays: the standing delay of the workers that this router uses (see
//	           fleetEstimates.standingDelay), and the part of the excess queueing delay at w (see
//	           queueEstimate.excess) that is attributed to other routers. That part is the excess times
//	           otherRoutersShare: 0 for a single router, which causes the whole excess itself.
//	objective  the shortest of r's latency objective and those of all classes of higher value
//	start      the ratio at which shedding begins, by the first case that applies:
//	           1. shedStartLateOrOverQuota * OverQuotaWeight if r is beyond its tenant's quota
//	           2. shedStartLateOrOverQuota if r's predicted latency misses r's latency objective
//	           3. shedStartLowerValue if there is a class of higher value
//	           4. shedStart
//
// A class is of higher value if its value density is more than minValueDensityRatio times that of r's class.
//
// The shedding threshold is start * objective. recoveryTime is the predicted time until the delay has fallen
// to the threshold; it is negative if the delay is below the threshold.
//
// shouldShed draws one random number per call, whatever the probability: skipping a draw would change all
// later draws.
func (p *Policy) shouldShed(
	r *request, w *worker, latency nanoseconds,
) (shed bool, recoveryTime nanoseconds) {
	start, objective := p.shedThreshold(r, latency)
	delay := max(p.estimates.standingDelay, nanoseconds(p.otherRoutersShare())*w.queue.excess(p.now))
	probability := min(shedSlope*(float64(delay/objective)-start), maxShedProbability)
	return p.rng.Float64() < probability, delay - nanoseconds(start)*objective
}

// shedThreshold returns the start and the objective in the formula of shouldShed: r may be shed if the delay
// is longer than start * objective.
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
		start = shedStartLateOrOverQuota * p.cfg.OverQuotaWeight
	case missesObjective:
		start = shedStartLateOrOverQuota
	}
	return start, objective
}

// valueDensity is the value of a class's requests per unit of their work. If WeightByWork is set,
// PriorityWeight already is the value per unit of work. Otherwise, PriorityWeight is the value of a request,
// and valueDensity divides it by the mean run time of the class.
func (p *Policy) valueDensity(c *class) float64 {
	if p.cfg.WeightByWork {
		return c.settings.PriorityWeight
	}
	return c.settings.PriorityWeight / max(float64(c.runTime.mean), 1)
}

// otherRoutersShare is the part of the fleet's traffic that the other routers carry if all routers carry
// equal parts.
func (p *Policy) otherRoutersShare() float64 { return 1 - 1/float64(p.cfg.RouterCount) }
