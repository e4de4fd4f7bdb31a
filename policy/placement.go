package policy

import (
	"math"
	"slices"
	"time"
)

// target is a worker that a request may be sent to.
type target struct {
	worker     *worker
	score      nanoseconds // the lowest of all candidates; this one's may be up to a tick higher
	latency    nanoseconds // predicted there
	likelyWarm bool        // not known to have the function loaded, but likely, for another router
}

// place sends r to the worker with the lowest score, has it wait, or ends it unserved:
//
//  1. The candidates are the workers that the rules allow and that have not failed r before.
//  2. The preferred worker is where r's function should be loaded if it must be.
//  3. While loads fail, workers where r would begin one are no candidates.
//  4. With a candidate left, admission decides on the one with the lowest score.
//  5. With none, r waits if a worker may take it in time, else it is refused.
func (p *Policy) place(r *request) {
	if r.finished || r.attemptsInFlight > 0 {
		return
	}
	candidates := p.candidates(r)
	preference := p.preferredWorker(r, candidates)
	earliest := p.now
	if p.loadBackoff.isActive(p.now) && len(candidates) > 0 {
		earliest = p.loadBackoff.until
		candidates = p.withoutNewLoads(r, candidates, preference)
	}
	if len(candidates) == 0 {
		p.waitOrRefuse(r, earliest)
		return
	}
	chosen := p.lowestScore(r, candidates, preference)
	if p.admit(r, chosen) {
		p.sendAttempt(r, chosen)
	}
}

// candidates returns the workers that r may go to now, in the fleet's order.
func (p *Policy) candidates(r *request) []*worker {
	return slices.DeleteFunc(slices.Clone(p.fleet), func(w *worker) bool {
		return p.isEjected(w) || slices.Contains(r.triedWorkers, w) || !p.sendAllowed(r, w)
	})
}

// withoutNewLoads removes the candidates at which r would begin a load. The preferred worker stays for a
// first attempt if another router has probably had the function loaded there.
func (p *Policy) withoutNewLoads(r *request, candidates []*worker, preference preference) []*worker {
	isRetry := len(r.attempts) > 0
	return slices.DeleteFunc(candidates, func(w *worker) bool {
		return p.needsLoad(w, r) && (isRetry || !preference.isLikelyWarm(w))
	})
}

// waitOrRefuse has r wait for a worker if one may take it at earliest or later, in time; else it refuses r.
func (p *Policy) waitOrRefuse(r *request, earliest time.Duration) {
	enoughTime := nanoseconds(r.deadline-earliest) > p.predictedRunTime(r)
	if enoughTime && p.mayBePlacedLater(r) {
		p.waiting = append(p.waiting, r)
		return
	}
	p.endUnserved(r, nanoseconds(earliest-p.now), NoWorkerAvailable)
}

// mayBePlacedLater reports whether a worker that takes nothing now may take r later: one that is ejected or
// warming up, or, where none is ready, one that is not listed yet.
func (p *Policy) mayBePlacedLater(r *request) bool {
	if p.readyWorkers == 0 && p.attemptAllowed(r, nil) {
		return true
	}
	return slices.ContainsFunc(p.fleet, func(w *worker) bool {
		return w.endpoint.State == Ready && !slices.Contains(r.triedWorkers, w) && p.attemptAllowed(r, w)
	})
}

// lowestScore returns the candidate with the lowest score, of which the preferred worker's is lower by the
// load that it may not need. Scores that are closer than a tick, which the clock can't tell apart, are a tie,
// drawn at random.
func (p *Policy) lowestScore(r *request, candidates []*worker, preference preference) target {
	bonus := nanoseconds(preference.warmChance) * p.predictedLoadTime(r.function)
	scores := make([]nanoseconds, len(candidates))
	lowest := nanoseconds(math.Inf(1))
	for i, w := range candidates {
		scores[i] = p.predictLatency(w, r)
		if w == preference.worker {
			scores[i] -= bonus
		}
		lowest = min(lowest, scores[i])
	}
	best := candidates[p.drawTie(scores, lowest+nanoseconds(p.cfg.Tick))]
	return target{
		worker:     best,
		score:      lowest,
		latency:    p.predictLatency(best, r),
		likelyWarm: preference.isLikelyWarm(best),
	}
}

// drawTie returns the index of one of the scores that are at most highest, each with the same chance
// (reservoir sampling: one draw for each tie, also for a lone one).
func (p *Policy) drawTie(scores []nanoseconds, highest nanoseconds) int {
	chosen := 0
	ties := 0
	for i, score := range scores {
		if score > highest {
			continue
		}
		ties++
		if p.rng.IntN(ties) == 0 {
			chosen = i
		}
	}
	return chosen
}
