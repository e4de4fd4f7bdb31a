package policy

import "math"

const (
	// likelyWarmProbability is the lowest probability at which the policy assumes that an instance is loaded.
	// The policy makes this assumption only if an error costs little: an attempt at a worker that must load
	// the function.
	likelyWarmProbability = 0.5

	// lostInstanceProbability is multiplied by the number of routers plus one to give the lowest probability
	// that the preferred worker has the function loaded without this router's knowledge. The one is added
	// because even a single router may have lost track of an instance.
	lostInstanceProbability = 0.2

	// replicaKeyShift puts the index of a replica into the top 16 bits of its key.
	replicaKeyShift = 48
)

// preference says at which worker a request's function should be loaded.
type preference struct {
	worker *worker // nil: every candidate has the function loaded or is loading it
	// warmProbability is the probability, 0 to 1, that the function is loaded at worker without this router's
	// knowledge.
	warmProbability float64
}

// isLikelyWarm reports whether w is the preferred worker and the function is probably loaded there, without
// this router's knowledge.
func (p preference) isLikelyWarm(w *worker) bool {
	return w == p.worker && p.warmProbability >= likelyWarmProbability
}

// preferredWorker returns the worker at which r's function should be loaded: of the candidates at which r
// would start a load, the one that ranks first for this router's replica of the function. Workers are ranked
// by rendezvous hashing (highest random weight), which gives the same order at all routers.
func (p *Policy) preferredWorker(r *request, candidates []*worker) preference {
	key, replicas := p.replica(r)
	var first, preferred *worker
	var firstWeight, preferredWeight uint64
	for _, w := range candidates {
		weight := rendezvousWeight(key, w.id())
		if first == nil || weight > firstWeight {
			first = w
			firstWeight = weight
		}
		if (preferred == nil || weight > preferredWeight) && p.needsLoad(w, r) {
			preferred = w
			preferredWeight = weight
		}
	}
	return preference{worker: preferred, warmProbability: p.warmProbability(r, first, preferred, replicas)}
}

// warmProbability is the probability that the function is loaded at the preferred worker without this
// router's knowledge. If that worker ranks first of all candidates, the other routers that use the same
// replica send their requests for the function there too. Each router is assumed to send as many as this
// router, and each keeps the function warm:
//
//	probability = max(floor, 1 - exp(-others * InstanceKeepAlive / rateTimeConstant))
//
//	others  requests in rateTimeConstant from the other routers that use the same replica:
//	        recentRequests * (RouterCount - 1) / replicas
//	floor   min(likelyWarmProbability, lostInstanceProbability * (RouterCount + 1)): 0.4 for a single
//	        router, and likelyWarmProbability for two or more. With two or more, isLikelyWarm holds for the
//	        preferred worker, unless the candidate that ranks first is loading the function.
//
// If the preferred worker does not rank first, the candidate that ranks first has the function loaded or is
// loading it. If it has the function loaded, the probability at the preferred worker is floor. If it is
// loading the function, the other routers' requests wait there, and the probability is 0.
func (p *Policy) warmProbability(r *request, first, preferred *worker, replicas int) float64 {
	floor := min(likelyWarmProbability, lostInstanceProbability*float64(p.cfg.RouterCount+1))
	if preferred != nil && preferred == first {
		others := r.function.recentRequests * float64(p.cfg.RouterCount-1) / float64(replicas)
		return max(floor, 1-math.Exp(-others*float64(p.cfg.InstanceKeepAlive)/float64(rateTimeConstant)))
	}
	if first != nil && p.remainingLoadTime(first, r) > 0 {
		return 0
	}
	return floor
}

// replica returns the key that ranks workers for this router's replica of r's function, and the number of
// replicas. A function is spread over as many workers as its share of this router's work requires, or over
// more while its replicas are saturated. Each router uses one of the replicas; the other routers keep the
// other replicas warm:
//
//	replicas = 1 + floor(otherRoutersShare * max(share, saturation))
//	share    = recentRequests * run time * ready workers / max(served work, run time)
//
// A single router has one replica, since otherRoutersShare is 0: its own requests in flight show where the
// function is overloaded. The number of replicas is not bounded by the number of workers, but the index of
// the replica that this router uses is.
func (p *Policy) replica(r *request) (key FunctionID, replicas int) {
	f := r.function
	runTime := p.predictedRunTime(r)
	work := nanoseconds(f.recentRequests) * runTime
	share := work * nanoseconds(p.readyWorkers) / max(p.estimates.servedWork, runTime)
	replicas = 1 + int(p.otherRoutersShare()*max(float64(share), f.saturation))
	replicaIndex := p.assignedReplica(f.id, min(replicas, p.readyWorkers))
	return f.id ^ FunctionID(replicaIndex)<<replicaKeyShift, replicas
}

// assignedReplica returns the index, from 0, of the replica that this router uses: the one that ranks first
// for the router's seed. The keys hashed here only order the replicas; they are not the keys that rank
// workers.
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

// The multipliers of the hash are odd 64-bit numbers that look random: from splitmix64 (the golden ratio, and
// its first multiplier) and xxHash64 (its second prime). All routers must use the same multipliers, and the
// same shifts in rendezvousWeight, which mix the upper half of the product into the lower half.
const (
	functionMultiplier = 0x9e3779b97f4a7c15
	workerMultiplier   = 0xc2b2ae3d27d4eb4f
	mixMultiplier      = 0xbf58476d1ce4e5b9
)

// rendezvousWeight is the weight that ranks w for f, highest first (highest random weight: Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998).
func rendezvousWeight(f FunctionID, w WorkerID) uint64 {
	x := uint64(f)*functionMultiplier ^ uint64(w)*workerMultiplier
	x ^= x >> 31
	x *= mixMultiplier
	return x ^ x>>29
}
