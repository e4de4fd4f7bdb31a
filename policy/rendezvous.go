package policy

import "math"

const (
	// likelyWarmChance is the chance from which an instance is counted on where a wrong guess costs little:
	// an attempt at a worker that would have to load the function after all.
	likelyWarmChance = 0.5

	// lostInstanceChance is the least chance that the preferred worker has the function loaded although we do
	// not know it, for each router and one more: even a lone router may have lost sight of an instance.
	lostInstanceChance = 0.2

	// replicaKeyShift puts the number of a replica into the top 16 bits of its key.
	replicaKeyShift = 48
)

// preference is where a request's function should be loaded.
type preference struct {
	worker     *worker // nil: no candidate would begin a load
	warmChance float64 // the chance that another router has had it loaded there, 0 to 1
}

// isLikelyWarm reports whether the function is probably loaded at w for another router.
func (p preference) isLikelyWarm(w *worker) bool {
	return w == p.worker && p.warmChance >= likelyWarmChance
}

// preferredWorker returns where r's function should be loaded: at the candidate that ranks first for our
// replica of it, of those that would begin a load. Workers rank by rendezvous hashing (highest random
// weight), which ranks them alike at all routers.
func (p *Policy) preferredWorker(r *request, candidates []*worker) preference {
	key, replicas := p.replica(r)
	var first, firstToLoad *worker
	var firstWeight, firstToLoadWeight uint64
	for _, w := range candidates {
		weight := rendezvousWeight(key, w.id())
		if first == nil || weight > firstWeight {
			first = w
			firstWeight = weight
		}
		if (firstToLoad == nil || weight > firstToLoadWeight) && p.needsLoad(w, r) {
			firstToLoad = w
			firstToLoadWeight = weight
		}
	}
	return preference{worker: firstToLoad, warmChance: p.warmChance(r, first, firstToLoad, replicas)}
}

// warmChance is the chance that the function is loaded at the preferred worker for other routers. If that
// worker ranks first of all candidates, the others send their requests for the function there too, as many as
// we do, and each keeps it warm:
//
//	chance = max(floor, 1 - exp(-others * InstanceKeepAlive / rateMemory))
//
//	others  requests of the other routers that use our replica, in rateMemory:
//	        recentRequests * (RouterCount - 1) / replicas
//	floor   min(likelyWarmChance, lostInstanceChance * (RouterCount + 1)): 0.4 for a lone router, and just
//	        likelyWarmChance for two or more. There isLikelyWarm holds for the preferred worker in every
//	        case but the next.
//
// If the first-ranked candidate is loading, others wait there, and the chance elsewhere is 0.
func (p *Policy) warmChance(r *request, first, preferred *worker, replicas int) float64 {
	floor := min(likelyWarmChance, lostInstanceChance*float64(p.cfg.RouterCount+1))
	if preferred != nil && preferred == first {
		others := r.function.recentRequests * float64(p.cfg.RouterCount-1) / float64(replicas)
		return max(floor, 1-math.Exp(-others*float64(p.cfg.InstanceKeepAlive)/float64(rateTimeConstant)))
	}
	if first != nil && p.remainingLoadTime(first, r) > 0 {
		return 0
	}
	return floor
}

// replica returns the key that ranks workers for our replica of r's function, and the number of replicas. A
// function is spread over as many workers as its share of our work asks for, or more while they are
// saturated; each router keeps to one of the replicas, and the others keep the rest warm:
//
//	replicas = 1 + floor(otherRoutersShare * max(share, saturation))
//	share    = recentRequests * run time * ready workers / max(served work, run time)
//
// A lone router has one replica, since its share of the others is 0: its own requests in flight tell it where
// the function is crowded. The count is not bounded by the workers; the replica that we keep to is.
func (p *Policy) replica(r *request) (key FunctionID, replicas int) {
	f := r.function
	runTime := p.predictedRunTime(r)
	work := nanoseconds(f.recentRequests) * runTime
	share := work * nanoseconds(p.readyWorkers) / max(p.estimates.servedWork, runTime)
	replicas = 1 + int(p.otherRoutersShare()*max(float64(share), f.saturation))
	replicaIndex := p.assignedReplica(f.id, min(replicas, p.readyWorkers))
	return f.id ^ FunctionID(replicaIndex)<<replicaKeyShift, replicas
}

// assignedReplica returns the number of the replica, from 0, that this router keeps to: the one that ranks first
// for its seed. The keys hashed here only order the replicas; they are not those that rank workers.
func (p *Policy) assignedReplica(f FunctionID, replicas int) int {
	assigned := 0
	assignedWeight := rendezvousWeight(f, WorkerID(p.replicaSeed))
	for n := 1; n < replicas; n++ {
		if weight := rendezvousWeight(f+FunctionID(n), WorkerID(p.replicaSeed)); weight > assignedWeight {
			assigned = n
			assignedWeight = weight
		}
	}
	return assigned
}

// The constants of the hash: odd numbers of 64 random-looking bits, from splitmix64 (the golden ratio, and
// its first multiplier) and xxHash64 (its second prime). All routers must use the same ones, and the same
// shifts below, which mix the upper half of the product into the lower one.
const (
	functionMultiplier = 0x9e3779b97f4a7c15
	workerMultiplier   = 0xc2b2ae3d27d4eb4f
	mixMultiplier      = 0xbf58476d1ce4e5b9
)

// rendezvousWeight is the weight that ranks w for f, the highest first (highest random weight: Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998).
func rendezvousWeight(f FunctionID, w WorkerID) uint64 {
	x := uint64(f)*functionMultiplier ^ uint64(w)*workerMultiplier
	x ^= x >> 31
	x *= mixMultiplier
	return x ^ x>>29
}
