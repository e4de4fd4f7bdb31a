package policy

import "math"

const (
	// fleetSlopePrior is the weight, in requests in flight, of the fleet's queueing slope in the slope of
	// each worker. With a higher value, a slow worker is recognized late; with a lower value, a few answers
	// determine the slope.
	fleetSlopePrior = 8

	// extraInstanceShare is the share of a load time that is added to the latency of a request if all
	// instances at a worker are busy: the worker may load another instance, or make the request wait. With a
	// higher value, requests go to workers that must load the function; with a lower value, busy workers load
	// further instances.
	extraInstanceShare = 0.3
)

// predictLatency predicts the latency of request r if it is sent to worker w now, as in the mask-aware
// scheduler of InstGenIE (section 4.4; CalcCost in Algorithm 2: the latency of a worker's running batch with
// the request added). The request goes to the worker with the lowest score: this latency, less a bonus at the
// preferred worker (see lowestScore).
//
//	latency = D(w, n) + R(r) + L(w, r) + U(w, r) + X(w, r) + O(w)
//
//	D  the queueing delay behind the n requests of this router in flight at w. The paper's scheduler knows
//	   the running batch and computes its latency; this router sees its own requests only and estimates the
//	   delay from answers: see queueingDelay.
//	R  the run time of r, the paper's estimated computation latency: see predictedRunTime.
//	L  the time until the function is loaded at w, 0 if it is loaded: see loadTimeLeft. The paper does not
//	   have this term: its cost ignores where a template is held.
//	U  the share of attempts of r's class that w has left unserved, times the time that r has left. The
//	   paper does not have this term: a request that is not served loses the rest of its time.
//	X  extraInstanceShare of a load time if the instances at w are all busy, because w may load another
//	   instance. The paper does not have this term.
//	O  how much longer than predicted w's oldest attempt has been in flight without any answer from w. The
//	   paper does not have this term: an answer that is overdue by some time is expected to take as much
//	   time again.
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

// queueingDelay predicts how long a request queues at w behind inFlight requests of this router:
//
//	D(w, n) = slope(w) * n + excess(w)
//
//	slope(w)  = max(0, sum of delays at w + prior * slope of the fleet) / (sum of n at w + prior)
//	prior     = fleetSlopePrior, a number of requests in flight
//	excess(w) = max(0, mean of the recent delays beyond slope(w) * n and of one constant 0)
//
// The sums decay with each answer (see ratioEstimator). The slope is that of a line through the origin,
// fitted to the answers of w and, as prior, to those of the fleet: a worker without answers gets the slope of
// the fleet. The excess includes the delay that other routers' requests add at w; load reports and rejections
// for overload also contribute to it.
func (p *Policy) queueingDelay(w *worker, inFlight int) nanoseconds {
	delays := w.queue.slope.sumY + p.estimates.queueSlope.predict(fleetSlopePrior)
	slope := max(0, delays) / (w.queue.slope.sumX + fleetSlopePrior)
	return nanoseconds(slope*float64(inFlight)) + max(0, w.queue.excess(p.now))
}

// predictedRunTime predicts how long r runs. If r has a work hint, the prediction is the hint times the ratio
// of real to hinted run times. Otherwise it combines the means of r's class and function, in which the class
// has the weight of runTimePrior answers:
//
//	(runTimePrior * class mean + n * function mean) / (runTimePrior + n)
//
// n is the number of answers for the function, at most runTimeWindow.
func (p *Policy) predictedRunTime(r *request) nanoseconds {
	c := p.classOf(r)
	f := &r.function.runTime
	if hint := r.arrived.WorkHint; hint > 0 && hint < longestPlausibleTime {
		return c.actualWork / c.hintedWork * nanoseconds(hint)
	}
	return (runTimePrior*c.runTime.mean + nanoseconds(f.count)*f.mean) / nanoseconds(runTimePrior+f.count)
}

// predictedLoadTime predicts how long a load of f takes: the hint times the ratio of real to hinted load
// times.
func (p *Policy) predictedLoadTime(f *function) nanoseconds {
	return nanoseconds(p.estimates.loadRatio * float64(f.loadTime))
}

// remainingLoadTime predicts the time until r's function is loaded at w if r is sent there. It is 0 if the
// function is already loaded.
func (p *Policy) remainingLoadTime(w *worker, r *request) nanoseconds {
	return p.loadTimeLeft(w.instances[r.function.id], r.function)
}

// loadTimeLeft is remainingLoadTime for an instance of f, or for a nil instance. A load under way takes
// precedence over the assumption that the function is warm.
func (p *Policy) loadTimeLeft(i *instance, f *function) nanoseconds {
	switch {
	case i != nil && i.isLoading():
		// A load that is overdue by some time is expected to take as much time again.
		return nanoseconds(math.Abs(float64(i.loadEndsAt - p.now)))
	case i != nil && i.isWarm(p.now):
		return 0
	default:
		return p.predictedLoadTime(f)
	}
}

// needsLoad reports whether r would start a load at w. If a load is under way there, r would wait for it
// instead.
func (p *Policy) needsLoad(w *worker, r *request) bool {
	i := w.instances[r.function.id]
	if i != nil && i.isLoading() {
		return false
	}
	return p.loadTimeLeft(i, r.function) > 0
}

// overdue is how much longer than predicted this router's oldest attempt at w has been in flight without any
// answer from w. At least one attempt must be in flight.
func (p *Policy) overdue(w *worker) nanoseconds {
	return max(0, nanoseconds(p.now-w.silentSince()-w.inFlight[0].expectedLatency))
}
