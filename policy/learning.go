package policy

const (
	// minRunTimeShare is the smallest share of an answer's time that counts as run time, whatever queueing
	// delay is predicted. Without it, a predicted delay that is too long would reduce the run time to 0. With
	// a higher value, queueing counts as run time.
	minRunTimeShare = 0.25

	// loadWaitShare is the share of a load time by which an answer must be late to show that it waited for a
	// load, where answers do not say so. With a higher value, loads count as queueing; with a lower value,
	// queueing counts as loads.
	loadWaitShare = 0.5

	// The standing delay follows an increase slowly, over about 20 answers, and a decrease quickly, over 4.
	// It thus estimates the delay that most answers exceed, and load is shed only while most answers are
	// delayed.
	standingDelayRiseAnswers = 20
	standingDelayFallAnswers = 4

	// loadRatioGain is the weight of one load in the ratio of the real to the hinted load time: the ratio
	// covers about five loads. With a higher value, one unusual load dominates the ratio; with a lower value,
	// a slowdown of the store that functions are loaded from is noticed late.
	loadRatioGain = 0.2

	// The bounds of the ratio that one load can show.
	minLoadRatio = 0.2
	maxLoadRatio = 10
)

// learnFromOutcome updates the estimates for the worker and the function of an attempt that has ended.
// NotSent gives no information.
func (p *Policy) learnFromOutcome(a *attempt, e AttemptEnded) {
	switch e.Outcome {
	case Served:
		p.recordWorkerAnswered(a.worker)
		p.recordUnserved(a, 0)
		a.request.function.served = true
		p.estimates.servedWork += p.classOf(a.request).runTime.mean
		p.learnFromAnswer(a, e)
	case Errored, WorkerOverloaded, FunctionNotLoaded:
		p.recordWorkerAnswered(a.worker)
		p.learnFromRejection(a, e)
	case Cancelled, TimedOut:
		// The attempt counts as unserved if the worker had all of the request's time, no load was expected,
		// and the attempt took far longer than predicted. An early cancellation by the client or the router
		// proves nothing. The attempt counts for its request's class only: the worker may serve other classes
		// well.
		farBeyondPrediction := e.Duration > outlierClip*a.expectedLatency
		if !a.wasCold && p.outOfTime(a.request) && farBeyondPrediction {
			p.recordUnserved(a, 1)
		}
	case ConnectionReset:
		p.learnFromReset(a)
	case Unreachable:
		p.eject(a.worker)
	}
}

// recordUnserved records, for a's class and worker, whether a was unserved (1) or served (0).
func (p *Policy) recordUnserved(a *attempt, unserved float64) {
	a.worker.health.unserved[a.request.arrived.Class].observe(p.now, unserved)
}

// learnFromAnswer learns from an answer with a result where the function is loaded, and how long loads,
// queueing and runs take.
func (p *Policy) learnFromAnswer(a *attempt, e AttemptEnded) {
	r := a.request
	p.observeLoadReport(a.worker, e.LoadReport) // first: the queueing delay predicted below includes it
	latency := nanoseconds(e.Duration)
	runTime := p.predictedRunTime(r)
	queueing := p.queueingDelay(a.worker, a.inFlightBefore)
	waitedForLoad := p.waitedForLoad(e, runTime+queueing, r.function)
	p.learnInstance(a)
	p.learnLateness(a, e, latency-runTime)
	unexpectedlyWarm := a.wasCold && p.cfg.MissWhenNotLoaded // an answer means that the function was loaded
	if waitedForLoad || unexpectedlyWarm {
		if p.startedLoad(a, e, waitedForLoad) {
			p.loadSucceeded(latency-runTime-queueing, r.function)
		}
		return // the time includes more than queueing and a run at a worker in the assumed state
	}
	p.learnQueueing(a, e, runTime, queueing)
	p.learnRunTime(r, max(latency-queueing, latency*minRunTimeShare), runTime)
}

// waitedForLoad reports whether an answer waited for a load. Where answers do not say so, it compares the
// answer's time with the time expected of a warm instance.
func (p *Policy) waitedForLoad(e AttemptEnded, expected nanoseconds, f *function) bool {
	if p.cfg.InstanceStatusInAnswers || p.cfg.MissWhenNotLoaded {
		return e.InstanceStatus == LoadStarted || e.InstanceStatus == LoadAwaited
	}
	return nanoseconds(e.Duration) > expected+p.predictedLoadTime(f)*loadWaitShare
}

// startedLoad reports whether an answered attempt started the load itself, so that its time includes the
// whole load.
func (p *Policy) startedLoad(a *attempt, e AttemptEnded, waitedForLoad bool) bool {
	if e.InstanceStatus == InstanceUnknown {
		return a.wasCold && waitedForLoad
	}
	return e.InstanceStatus == LoadStarted
}

// learnInstance records that the function is loaded at the worker, and how many requests the worker serves at
// the same time.
func (p *Policy) learnInstance(a *attempt) {
	i := a.instance
	i.warmUntil = p.now + p.cfg.InstanceKeepAlive
	i.loadEndsAt = 0
	i.concurrency = max(i.concurrency, i.inFlight+1) // including this attempt, which has just ended
	p.announce(i, a.request.function)
}

// learnLateness learns whether answers without a load are late. It updates the standing delay, which covers
// all workers, and the saturation of the function's replicas. delay is the answer's time beyond the run time.
func (p *Policy) learnLateness(a *attempt, e AttemptEnded, delay nanoseconds) {
	f := a.request.function
	objective := p.classOf(a.request).settings.LatencyObjective
	// Where answers do not report loads, an answer that was slowed by a load counts here too.
	withoutLoad := e.InstanceStatus == InstanceUnknown || e.InstanceStatus == InstanceWarm
	if !a.wasCold && withoutLoad {
		p.observeStandingDelay(delay, outlierClip*nanoseconds(objective))
	}
	if e.Duration < objective {
		f.saturation *= ratioRetention
	} else if a.expectedWarm() && withoutLoad {
		f.recordSaturation(p.readyWorkers)
	}
}

// observeStandingDelay moves the standing delay towards the delay of an answer, which is limited to maxDelay.
func (p *Policy) observeStandingDelay(delay, maxDelay nanoseconds) {
	answers := nanoseconds(standingDelayRiseAnswers)
	if delay < p.estimates.standingDelay {
		answers = standingDelayFallAnswers
	}
	p.estimates.standingDelay += (min(delay, maxDelay) - p.estimates.standingDelay) / answers
}

// learnQueueing learns how long requests queue at the worker: the delay per request of this router in flight,
// and the excess delay beyond it.
func (p *Policy) learnQueueing(a *attempt, e AttemptEnded, runTime, queueing nanoseconds) {
	queue := &a.worker.queue
	inFlight := float64(a.inFlightBefore)
	delay := nanoseconds(e.Duration) - runTime
	maxDelay := outlierClip * p.objective(a.request)
	ownDelay := queueing - max(0, queue.excess(p.now)) // predicted for this router's requests in flight
	queue.observeExcess(p.now, min(delay, maxDelay)-ownDelay)
	delay = clamp(delay, -runTime, outlierClip*(runTime+queueing))
	queue.slope.observe(inFlight, float64(delay))
	p.estimates.queueSlope.observe(inFlight, float64(delay))
	if queued := p.estimates.reportedQueue(e.LoadReport); queued >= 0 {
		p.estimates.delayPerQueued.observe(queued, float64(max(delay-ownDelay, 0)))
	}
}

// observeLoadReport counts a load report as one answer with the delay of the queue length that it reports. A
// report belongs to no class; the objective of the first class bounds the delay.
func (p *Policy) observeLoadReport(w *worker, report []float64) {
	queued := p.estimates.reportedQueue(report)
	if queued < 0 {
		return
	}
	maxDelay := outlierClip * nanoseconds(p.classes[0].settings.LatencyObjective)
	w.queue.observeExcess(p.now, min(nanoseconds(p.estimates.delayPerQueued.predict(queued)), maxDelay))
}

// learnRunTime learns from a run time: it updates the means of r's function and class, and the ratio of real
// to hinted run times. predicted is the run time that was predicted.
func (p *Policy) learnRunTime(r *request, runTime, predicted nanoseconds) {
	c := p.classOf(r)
	if hint := r.arrived.WorkHint; hint > 0 {
		c.actualWork += min(runTime, outlierClip*predicted) - c.actualWork/runTimeWindow
		c.hintedWork += nanoseconds(min(hint, longestPlausibleTime)) - c.hintedWork/runTimeWindow
	}
	r.function.runTime.observe(runTime)
	c.runTime.observe(runTime)
}

// learnFromRejection learns from an answer without a result.
func (p *Policy) learnFromRejection(a *attempt, e AttemptEnded) {
	i := a.instance
	if e.Outcome == FunctionNotLoaded || e.InstanceStatus == LoadFailed {
		i.markNotLoaded()
	} else if e.Outcome == WorkerOverloaded && i.inFlight == 0 && !i.loadCommandPending {
		i.loadEndsAt = 0 // the worker has started no load for the request
	}
	switch {
	case e.InstanceStatus == LoadFailed:
		p.loadBackoff.extend(p.now, 1)
	case e.Outcome == Errored && a.request.function.served: // otherwise the request may cause the error
		p.recordUnserved(a, 1)
	case e.Outcome == WorkerOverloaded && a.expectedWarm():
		p.learnFromOverload(a, e)
	}
}

// learnFromOverload learns that the worker has no capacity left for a function that it has loaded: one more
// replica is needed, and the delay at the worker counts as a multiple of the run time.
func (p *Policy) learnFromOverload(a *attempt, e AttemptEnded) {
	queue := &a.worker.queue
	a.request.function.recordSaturation(p.readyWorkers)
	p.observeLoadReport(a.worker, e.LoadReport)
	queue.observeExcess(p.now, max(outlierClip*p.predictedRunTime(a.request), queue.excess(p.now)))
}

// learnFromReset treats the first reset at a clock reading as a broken connection; other attempts on that
// connection end at the same reading and are not counted. A health check shows whether the worker failed.
// Where health checks are not allowed, the next dial shows it, and any request to the worker dials. (There, a
// load command's reset ejects the worker, because possibly no request follows.)
func (p *Policy) learnFromReset(a *attempt) {
	w := a.worker
	if w.health.checkPending || w.health.lastReset == p.now {
		return
	}
	w.health.lastReset = p.now
	p.recordUnserved(a, 1)
	p.checkHealth(w)
}

// loadSucceeded learns the duration of a whole load of f, and ends the backoff.
func (p *Policy) loadSucceeded(duration nanoseconds, f *function) {
	p.loadBackoff = loadBackoff{}
	ratio := clamp(float64(duration)/float64(f.loadTime), minLoadRatio, maxLoadRatio)
	p.estimates.loadRatio += loadRatioGain * (ratio - p.estimates.loadRatio)
}
