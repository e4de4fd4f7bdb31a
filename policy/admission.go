package policy

import (
	"math"
	"time"
)

const ( // ratios of the standing delay to the latency objective, at which load shedding begins
	shedStart       = 0.5
	shedStartBehind = 0.25 // where a class of more value is served too
	shedStartFirst  = 0.15 // beyond its quota or late at best
)

type tokenBucket struct { // of a tenant's requests, by this router's part of its quota
	tokens, refillPerSecond float64
	refilledAt              time.Duration
}

func (b *tokenBucket) refill(now time.Duration) {
	most := b.refillPerSecond + 3*math.Sqrt(b.refillPerSecond) + 1 // a second's worth, and some for chance
	b.tokens = min(b.tokens+b.refillPerSecond*(now-b.refilledAt).Seconds(), most)
	b.refilledAt = now
}

func (p *Policy) admit(r *request, w *worker, score, latency float64, likelyWarm bool) bool { // or give up
	if likelyWarm {
		latency -= p.remainingLoadTime(w, r)
	}
	shed, drain := p.shouldShed(r, w, latency)
	reason := LoadShed
	if latency > float64(r.deadline-p.now) || r.overQuota && score > p.objective(r) {
		reason = PredictedTooLate
	} else if !shed || len(r.attempts) > 0 {
		return true
	}
	if p.now-p.lastTrial < sweepInterval || r.overQuota {
		p.giveUp(r, drain, reason)
		return false
	}
	p.lastTrial = p.now // a trial now and then can correct a wrong estimate
	return true
}

// shouldShed draws whether r gives way; drain is the time, in nanoseconds, until it would not need to.
func (p *Policy) shouldShed(r *request, w *worker, latency float64) (shed bool, drain float64) {
	c := &p.classes[r.Class]
	start, objective := shedStart, p.objective(r)
	for i := range p.classes {
		if other := &p.classes[i]; p.valueDensity(other) > 1.5*p.valueDensity(c) {
			start, objective = shedStartBehind, min(objective, float64(other.LatencyObjective))
		}
	}
	if r.overQuota {
		start = shedStartFirst * p.cfg.OverQuotaWeight
	} else if latency > p.objective(r) {
		start = shedStartFirst
	}
	delay := max(p.standingDelay, p.otherRoutersShare()*w.excessDelay.value(p.now))
	chance := min(2*(delay/objective-start), 0.9) // some must be served to show that the delay is gone
	return p.rng.Float64() < chance, delay - start*objective
}

func (p *Policy) valueDensity(c *class) float64 { // value for the work that it takes
	if p.cfg.WeightByWork {
		return c.PriorityWeight
	}
	return c.PriorityWeight / max(c.runTime.mean, 1)
}

func (p *Policy) otherRoutersShare() float64 { return 1 - 1/float64(p.cfg.RouterCount) }
