package policy

import "math"

const (
	// fleetSlopePrior is how many requests in flight the fleet's queueing slope weighs in that of each
	// worker. Higher, and a slow worker is told apart late; lower, and a few answers decide.
	fleetSlopePrior = 8

	// extraInstanceShare is the part of a load that a request is charged where all instances at a worker are
	// busy: the worker may load a further one, or let the request wait. Higher, and requests leave for
	// workers that must load; lower, and busy workers begin further loads.
	extraInstanceShare = 0.3
)

// predictLatency predicts the latency of request r if it is sent to worker w now, as in the mask-aware
// scheduler of InstGenIE (section 4.4; CalcCost in Algorithm 2: the latency of a worker's running batch with
// the request added). The request goes to the worker with the lowest score: this latency, less a bonus at the
// preferred worker (lowestScore).
//
//	latency = D(w, n) + R(r) + L(w, r) + U(w, r) + X(w, r) + O(w)
//
//	D  the queueing delay behind our n requests in flight at w. The paper knows the running batch and
//	   computes its latency; we see our own requests alone and fit the delay online: see queueingDelay.
//	R  the run time of r, the paper's estimated computation latency: see predictedRunTime.
//	L  the time until the function is loaded at w, 0 if it is. The paper's cost ignores where a template is
//	   held, so this term is ours: see loadTimeLeft.
//	U  the share of r's class that w has left unserved, times the time that r has left. Ours: a request that
//	   is not served waits in vain, and the rest of its time is what it loses.
//	X  extraInstanceShare of a load where the instances at w are all busy: w may load a further one. Ours.
//	O  how much longer than predicted w's oldest attempt has gone without any answer from w. Ours: an answer
//	   that is overdue by some time is expected to take as much more.
func (p *Policy) predictLatency(w *worker, r *request) nanoseconds {
	i := w.instances[r.function.id]
	latency := p.queueingDelay(w, len(w.inFlight)) +
		p.predictedRunTime(r) +
		p.loadTimeLeft(i, r.function) +
		nanoseconds(w.health.unserved[r.arrived.Class].value(p.now))*p.timeLeft(r)
	if i != nil && i.isBusy(r.arrived.Concurrency) {
		latency += extraInstanceShare * p.predictedLoadTime(r.function)
	}
	if len(w.inFlight) > 0 {
		latency += p.overdue(w)
	}
	return latency
}

// queueingDelay predicts how long a request queues at w behind inFlight requests of ours:
//
//	D(w, n) = slope(w) * n + excess(w)
//
//	slope(w)  = max(0, sum of delays at w + prior * slope of the fleet) / (sum of n at w + prior)
//	prior     = fleetSlopePrior, so many requests in flight
//	excess(w) = max(0, recent mean of the delays beyond slope(w) * n, and of one 0)
//
// The sums decay with each answer (ratioEstimator). The slope is that of a line through the origin, fitted to
// the answers of w and, as prior, of the fleet: a worker that nobody has heard of counts as average. The
// excess is what other routers queue there; load reports and rejections for overload enter it too.
func (p *Policy) queueingDelay(w *worker, inFlight int) nanoseconds {
	delays := w.queue.slope.sumY + p.estimates.queueSlope.predict(fleetSlopePrior)
	slope := max(0, delays) / (w.queue.slope.sumX + fleetSlopePrior)
	return nanoseconds(slope*float64(inFlight)) + max(0, w.queue.excess(p.now))
}

// predictedRunTime predicts how long r runs: by its work hint, scaled as earlier hints proved, or else by a
// blend of the means of its class and its function, in which the class weighs like runTimePrior answers:
//
//	(runTimePrior * class mean + n * function mean) / (runTimePrior + n), n answers, at most runTimeMemory
func (p *Policy) predictedRunTime(r *request) nanoseconds {
	c := p.classOf(r)
	f := &r.function.runTime
	if hint := r.arrived.WorkHint; hint > 0 && hint < longestPlausibleTime {
		return c.actualWork / c.hintedWork * nanoseconds(hint)
	}
	return (runTimePrior*c.runTime.mean + nanoseconds(f.count)*f.mean) / nanoseconds(runTimePrior+f.count)
}

// predictedLoadTime predicts how long a load of f takes: the hint, scaled as earlier hints proved.
func (p *Policy) predictedLoadTime(f *function) nanoseconds {
	return nanoseconds(p.estimates.loadRatio * float64(f.loadTime))
}

// remainingLoadTime predicts the time until r's function is loaded at w if r is sent there; 0 if it is
// loaded.
func (p *Policy) remainingLoadTime(w *worker, r *request) nanoseconds {
	return p.loadTimeLeft(w.instances[r.function.id], r.function)
}

// loadTimeLeft is remainingLoadTime of an instance of f, or of none. A load under way counts before any
// belief that the function is warm.
func (p *Policy) loadTimeLeft(i *instance, f *function) nanoseconds {
	switch {
	case i != nil && i.isLoading():
		// A load that is late is expected to be as late again.
		return nanoseconds(math.Abs(float64(i.loadEndsAt - p.now)))
	case i != nil && i.isWarm(p.now):
		return 0
	default:
		return p.predictedLoadTime(f)
	}
}

// needsLoad reports whether r would begin a load at w. While one is under way there, r would wait for that
// one.
func (p *Policy) needsLoad(w *worker, r *request) bool {
	i := w.instances[r.function.id]
	if i != nil && i.isLoading() {
		return false
	}
	return p.loadTimeLeft(i, r.function) > 0
}

// overdue is how much longer than predicted the oldest of our attempts at w has gone without any answer from
// w. There must be one.
func (p *Policy) overdue(w *worker) nanoseconds {
	return max(0, nanoseconds(p.now-w.silentSince()-w.inFlight[0].expectedLatency))
}
