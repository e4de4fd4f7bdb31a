package policy

import (
	"math"
	"time"
)

const (
	fleetSlopePrior     = 8                // answers that the fleet's slope weighs in each worker's
	runTimePrior        = 5                // answers that the class's run time weighs in each function's
	initialRunTimeShare = 0.25             // of the latency objective, until answers come
	extraInstanceShare  = 0.3              // part of a load that a request of a busy instance costs
	ratioRetention      = 0.97             // a ratio remembers about 30 answers
	runTimeMemory       = 30               // answers that a run time remembers
	delayMemory         = 3 * time.Second  // a worker's queue drains in about that
	rateMemory          = 10 * time.Second // of the rates of requests and of served work
	fewObservations     = 6                // fewer are remembered for longer: no newer ones come
	outlierClip         = 3                // an observation counts as at most this multiple of its estimate
)

type class struct {
	Class
	runTime                runTimeEstimate
	actualWork, hintedWork float64 // recent run times and work hints; equal at first, to believe in hints
}

func (p *Policy) predictLatency(w *worker, r *request) float64 { // the score: in nanoseconds, if sent now
	score := p.queueingDelay(w, len(w.inFlight)) + p.predictedRunTime(r) + p.remainingLoadTime(w, r) +
		w.unserved[r.Class].value(p.now)*float64(r.deadline-p.now) // an unserved request waits in vain
	i := w.instances[r.function.id]
	if i != nil && float64(i.inFlight) >= max(r.Concurrency, 1, float64(i.concurrency)) {
		score += extraInstanceShare * p.predictedLoadTime(r.function) // w may load a further instance
	}
	if len(w.inFlight) > 0 { // an overdue answer takes at least as much longer
		score += max(0, float64(p.now-w.silentSince()-w.inFlight[0].expectedLatency))
	}
	return score
}

func (p *Policy) queueingDelay(w *worker, inFlight int) float64 {
	delays := w.queueSlope.numerator + p.fleetQueueSlope.predict(fleetSlopePrior)
	slope := max(0, delays) / (w.queueSlope.denominator + fleetSlopePrior)
	return slope*float64(inFlight) + max(0, w.excessDelay.value(p.now))
}

func (p *Policy) predictedRunTime(r *request) float64 {
	c, f := &p.classes[r.Class], &r.function.runTime
	if r.WorkHint > 0 && r.WorkHint < time.Hour {
		return c.actualWork / c.hintedWork * float64(r.WorkHint)
	}
	return (runTimePrior*c.runTime.mean + f.count*f.mean) / (runTimePrior + f.count)
}

func (p *Policy) remainingLoadTime(w *worker, r *request) float64 {
	i := w.instances[r.function.id]
	if i != nil && i.loadEndsAt > 0 {
		return math.Abs(float64(i.loadEndsAt - p.now)) // one that is late is expected to be as late again
	} else if i != nil && (p.now < i.warmUntil || i.inFlight > 0) {
		return 0
	}
	return p.predictedLoadTime(r.function)
}

func (p *Policy) predictedLoadTime(f *function) float64 { return p.loadRatio * float64(f.loadTime) }

func (p *Policy) needsLoad(w *worker, r *request) bool { // would r begin one?
	i := w.instances[r.function.id]
	return (i == nil || i.loadEndsAt == 0) && p.remainingLoadTime(w, r) > 0
}

func clamp(v, low, high float64) float64 {
	if math.IsNaN(v) {
		return low
	}
	return min(max(v, low), high)
}

type ratioEstimator struct{ denominator, numerator float64 } // decaying sums: a line through the origin

func (e *ratioEstimator) observe(x, y float64) {
	e.denominator = e.denominator*ratioRetention + x
	e.numerator = e.numerator*ratioRetention + y
}

func (e *ratioEstimator) predict(x float64) float64 { return x * e.numerator / max(e.denominator, 1) }

type decayingMean struct { // of recent observations and, as one more among them, of 0
	sum, count float64
	at         time.Duration
}

func (m *decayingMean) retention(now time.Duration) float64 {
	return math.Exp(-float64(now-m.at) / float64(delayMemory) * min(1, max(1, m.count)/fewObservations))
}

func (m *decayingMean) value(now time.Duration) float64 {
	retained := m.retention(now)
	return m.sum * retained / (m.count*retained + 1)
}

func (m *decayingMean) observe(now time.Duration, v float64) {
	retained := m.retention(now)
	m.sum, m.count, m.at = m.sum*retained+v, m.count*retained+1, now
}

type runTimeEstimate struct{ mean, count float64 } // of requests that found a warm instance, in nanoseconds

func (e *runTimeEstimate) observe(took float64) {
	e.count = min(e.count+1, runTimeMemory)
	e.mean += (min(took, outlierClip*e.mean) - e.mean) / e.count
}

type queueEstimate struct { // predicts a worker's queueing delay
	queueSlope  ratioEstimator // over our requests in flight
	excessDelay decayingMean   // that other routers' requests add
}

type fleetEstimates struct { // by the answers of all workers
	fleetQueueSlope ratioEstimator // queueing delay over our requests in flight
	delayPerQueued  ratioEstimator // queueing delay over the queue length in load reports
	queueField      int            // index of the queue length in a load report; -1: not reported
	standingDelay   float64        // that most warm answers exceed
	loadRatio       float64        // real load time over the hinted one
	servedWork      float64        // to us, decaying over rateMemory
}

func (e *fleetEstimates) reportedQueue(report []float64) float64 { // negative: not reported
	if e.queueField >= 0 && e.queueField < len(report) {
		return clamp(report[e.queueField], -1, 1000)
	}
	return -1
}

func (p *Policy) observeLoadReport(w *worker, report []float64) { // as one answer, late by such a queue
	if queued := p.reportedQueue(report); queued >= 0 {
		most := outlierClip * float64(p.classes[0].LatencyObjective)
		w.excessDelay.observe(p.now, min(p.delayPerQueued.predict(queued), most))
	}
}

func (p *Policy) learnFromAnswer(a *attempt, e AttemptEnded) {
	r, w, f, c := a.request, a.worker, a.request.function, &p.classes[a.request.Class]
	p.observeLoadReport(w, e.LoadReport)
	took, runTime := float64(e.Duration), p.predictedRunTime(r)
	queueing := p.queueingDelay(w, a.inFlightBefore)
	loaded := e.InstanceStatus == LoadStarted || e.InstanceStatus == LoadAwaited
	if !p.cfg.InstanceStatusInAnswers && !p.cfg.MissWhenNotLoaded { // then the time must tell
		loaded = took > runTime+queueing+p.predictedLoadTime(f)/2
	}
	p.learnPlacement(a, e, took-runTime)
	if loaded || a.neededLoad && p.cfg.MissWhenNotLoaded {
		if e.InstanceStatus == LoadStarted || e.InstanceStatus == InstanceUnknown && a.neededLoad && loaded {
			p.loadSucceeded(took-runTime-queueing, f)
		}
		return
	}
	p.learnQueueing(a, e, runTime, queueing)
	net := max(took-queueing, took/4)
	if r.WorkHint > 0 {
		c.actualWork += min(net, outlierClip*runTime) - c.actualWork/runTimeMemory
		c.hintedWork += min(float64(r.WorkHint), float64(time.Hour)) - c.hintedWork/runTimeMemory
	}
	f.runTime.observe(net)
	c.runTime.observe(net)
}

func (p *Policy) learnQueueing(a *attempt, e AttemptEnded, runTime, queueing float64) {
	w, n, delay := a.worker, float64(a.inFlightBefore), float64(e.Duration)-runTime
	most, ours := outlierClip*p.objective(a.request), queueing-max(0, w.excessDelay.value(p.now))
	w.excessDelay.observe(p.now, min(delay, most)-ours)
	delay = clamp(delay, -runTime, outlierClip*(runTime+queueing))
	w.queueSlope.observe(n, delay)
	p.fleetQueueSlope.observe(n, delay)
	if queued := p.reportedQueue(e.LoadReport); queued >= 0 {
		p.delayPerQueued.observe(queued, max(delay-ours, 0))
	}
}
