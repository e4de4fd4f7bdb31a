package policy

import (
	"math"
	"slices"
	"time"
)

// target is a worker that a request may be sent to.
type target struct {
	worker     *worker
	score      nanoseconds // lowest score of all candidates; this worker's score may be up to a tick higher
	latency    nanoseconds // predicted latency at this worker
	likelyWarm bool        // the function is probably loaded here, but without this router's knowledge
}

// place sends r to the worker with the lowest score, makes it wait, or ends it unserved:
//
//  1. The candidates are the workers that the rules allow, that are not ejected, and that have not failed r;
//     or only the worker that preferRepeat prefers.
//  2. The preferred worker is the one that should load r's function if the function must be loaded.
//  3. While loadBackoff is active, most workers at which r would start a load are removed from the
//     candidates; see withoutNewLoads.
//  4. If a candidate is left, admission decides whether r is sent to the one with the lowest score.
//  5. If none is left, r waits if a worker may take it in time; otherwise it is refused.
func (p *Policy) place(r *request) {
	if r.finished || r.attemptsInFlight > 0 {
		return
	}
	candidates := r.preferRepeat(p.candidates(r))
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

// candidates returns the workers that r may be sent to now, in the order of the fleet.
func (p *Policy) candidates(r *request) []*worker {
	return slices.DeleteFunc(slices.Clone(p.fleet), func(w *worker) bool {
		return p.isEjected(w) || slices.Contains(r.triedWorkers, w) || !p.sendAllowed(r, w)
	})
}

// preferRepeat returns only the worker to which r should be sent again, if it is one of the candidates: an
// answer on r's connection was corrupted, so the worker works, has the function loaded or is loading it, and
// may recognize the repeat. Another worker would do the same work once more.
func (r *request) preferRepeat(candidates []*worker) []*worker {
	if r.repeatAt != nil && slices.Contains(candidates, r.repeatAt) {
		return []*worker{r.repeatAt}
	}
	return candidates
}

// withoutNewLoads removes the candidates at which r would start a load. For a first attempt, the preferred
// worker remains if the function is probably loaded there.
func (p *Policy) withoutNewLoads(r *request, candidates []*worker, preference preference) []*worker {
	isRetry := len(r.attempts) > 0
	return slices.DeleteFunc(candidates, func(w *worker) bool {
		return p.needsLoad(w, r) && (isRetry || !preference.isLikelyWarm(w))
	})
}

// waitOrRefuse makes r wait if a worker may take it at earliest or later and there will be enough time to run
// it. Otherwise it refuses r.
func (p *Policy) waitOrRefuse(r *request, earliest time.Duration) {
	enoughTime := nanoseconds(r.deadline-earliest) > p.predictedRunTime(r)
	if enoughTime && p.mayBePlacedLater(r) {
		p.waiting.add(r)
		return
	}
	p.endUnserved(r, nanoseconds(earliest-p.now), NoWorkerAvailable)
}

// mayBePlacedLater reports whether a worker that cannot take r now may take it later: a worker that is
// ejected or warming up, one that must load the function after the pause between loads or, if no worker is
// ready, one that is not listed yet.
func (p *Policy) mayBePlacedLater(r *request) bool {
	if p.readyWorkers == 0 && p.attemptAllowed(r, nil) {
		return true
	}
	return slices.ContainsFunc(p.fleet, func(w *worker) bool {
		return w.endpoint.State == Ready && !slices.Contains(r.triedWorkers, w) && p.attemptAllowed(r, w)
	})
}

// lowestScore returns the candidate with the lowest score. The score of a worker is the predicted latency
// there. For the preferred worker, it is reduced by a bonus: the predicted load time, times the probability
// that the function is already loaded there. All scores within a tick of the lowest are a tie, because the
// clock cannot distinguish them; one of the tied candidates is drawn at random.
func (p *Policy) lowestScore(r *request, candidates []*worker, preference preference) target {
	bonus := nanoseconds(preference.warmProbability) * p.predictedLoadTime(r.function)
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

// drawTie returns the index of one of the scores that are at most highest, each with the same probability
// (reservoir sampling with one draw per tied score, even if there is only one).
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
