package policy

import (
	"math"
	"slices"
	"time"
)

const likelyWarmChance = 0.5 // chance of an instance that is counted on where a wrong guess costs little

func (p *Policy) place(r *request) {
	if r.finished || r.outstanding > 0 {
		return
	}
	candidates := slices.DeleteFunc(slices.Clone(p.fleet), func(w *worker) bool {
		return p.isEjected(w) || slices.Contains(r.triedWorkers, w) || !p.sendAllowed(r, w)
	})
	preferred, chance := p.preferredWorker(r, candidates)
	likelyWarm := func(w *worker) bool { return w == preferred && chance >= likelyWarmChance }
	earliest := p.now
	if p.now < p.loadBackoff.until && len(candidates) > 0 {
		earliest = p.loadBackoff.until
		candidates = slices.DeleteFunc(candidates, func(w *worker) bool {
			return p.needsLoad(w, r) && (!likelyWarm(w) || len(r.attempts) > 0)
		})
	}
	switch {
	case len(candidates) > 0:
		w, score := p.lowestScore(r, candidates, preferred, chance*p.predictedLoadTime(r.function))
		latency := p.predictLatency(w, r)
		if p.admit(r, w, score, latency, likelyWarm(w)) {
			p.sendAttempt(r, w, time.Duration(latency), likelyWarm(w))
		}
	case float64(r.deadline-earliest) > p.predictedRunTime(r) && p.mayBePlacedLater(r):
		p.waiting = append(p.waiting, r)
	default:
		p.giveUp(r, float64(earliest-p.now), NoWorkerAvailable)
	}
}

func (p *Policy) lowestScore(r *request, among []*worker, favored *worker, bonus float64) (*worker, float64) {
	scores, lowest := make([]float64, len(among)), math.Inf(1)
	for i, w := range among {
		scores[i] = p.predictLatency(w, r)
		if w == favored {
			scores[i] -= bonus
		}
		lowest = min(lowest, scores[i])
	}
	best, ties := 0, 0
	for i := range among {
		if scores[i] <= lowest+float64(p.cfg.Tick) { // closer than the clock tells is a tie
			if ties++; p.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return among[best], lowest
}

func (p *Policy) mayBePlacedLater(r *request) bool { // by one now ejected, warming up or not listed
	mayTake := func(w *worker) bool {
		return w.State == Ready && !slices.Contains(r.triedWorkers, w) && p.attemptAllowed(r, w)
	}
	return p.readyWorkers == 0 && p.attemptAllowed(r, nil) || slices.ContainsFunc(p.fleet, mayTake)
}

// preferredWorker is where r's function should be loaded, and the chance that another router had it loaded.
func (p *Policy) preferredWorker(r *request, candidates []*worker) (preferred *worker, chance float64) {
	key, replicas := p.replica(r)
	weight := func(w *worker) uint64 { return rendezvousWeight(key, w.Worker) }
	var first *worker
	for _, w := range candidates {
		if first == nil || weight(w) > weight(first) {
			first = w
		}
		if p.needsLoad(w, r) && (preferred == nil || weight(w) > weight(preferred)) {
			preferred = w
		}
	}
	chance = min(likelyWarmChance, 0.2*float64(p.cfg.RouterCount+1)) // a lone router may have lost one
	if preferred != nil && preferred == first {
		others := r.function.recentRequests * float64(p.cfg.RouterCount-1) / float64(replicas)
		chance = max(chance, 1-math.Exp(-others*float64(p.cfg.InstanceKeepAlive)/float64(rateMemory)))
	} else if first != nil && p.remainingLoadTime(first, r) > 0 { // others wait for that load too
		chance = 0
	}
	return preferred, chance
}

// replica returns the key that ranks workers for our replica of r's function, and the number of replicas.
func (p *Policy) replica(r *request) (key FunctionID, replicas int) {
	f, run, own := r.function, p.predictedRunTime(r), 0
	share := f.recentRequests * run * float64(p.readyWorkers) / max(p.servedWork, run)
	replicas = 1 + int(p.otherRoutersShare()*max(share, f.saturation))
	weight := func(n int) uint64 { return rendezvousWeight(f.id+FunctionID(n), WorkerID(p.identity)) }
	for n := 1; n < min(replicas, p.readyWorkers); n++ {
		if weight(n) > weight(own) {
			own = n
		}
	}
	return f.id ^ FunctionID(own)<<48, replicas
}

func rendezvousWeight(f FunctionID, w WorkerID) uint64 { // Thaler and Ravishankar, 1998
	x := uint64(f)*0x9e3779b97f4a7c15 ^ uint64(w)*0xc2b2ae3d27d4eb4f
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}

func (p *Policy) learnPlacement(a *attempt, e AttemptEnded, delay float64) {
	i, f, objective := a.instance, a.request.function, p.classes[a.request.Class].LatencyObjective
	noLoad := e.InstanceStatus <= InstanceWarm
	if !a.neededLoad && noLoad {
		answers := 20.0 // it follows a rise slowly and a fall fast
		if delay < p.standingDelay {
			answers = 4
		}
		p.standingDelay += (min(delay, outlierClip*float64(objective)) - p.standingDelay) / answers
	}
	i.warmUntil, i.loadEndsAt = p.now+p.cfg.InstanceKeepAlive, 0
	i.concurrency = max(i.concurrency, i.inFlight+1)
	p.announce(i, f)
	if e.Duration < objective {
		f.saturation *= ratioRetention
	} else if a.expectedWarm() && noLoad {
		f.recordSaturation(p.readyWorkers)
	}
}

func (f *function) recordSaturation(most int) { f.saturation = min(f.saturation+1, float64(most)) }
