package policy

const (
	// minRunTimeShare is the smallest share of an answer's latency that counts as run time, whatever queueing
	// delay is predicted. Without it, a predicted delay that is too long would reduce the run time to 0. With
	// a higher value, queueing counts as run time.
	minRunTimeShare = 0.25

	// If answers do not report loads, an answer counts as delayed by a load if it is later than predicted by
	// more than loadWaitShare of a load time. With a higher value, loads count as queueing; with a lower
	// value, queueing counts as loads.
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

	// The bounds of the ratio that is learned from one load.
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
		// The attempt counts as unserved if the request's final answer is due, the function was assumed warm,
		// and the attempt took far longer than predicted. A cancellation by the client or the router before
		// the final answer is due proves nothing about the worker. Only the estimate for the request's class
		// changes, because the worker may serve other classes well.
		farBeyondPrediction := e.Duration > outlierClip*a.expectedLatency
		if !a.wasCold && p.outOfTime(a.request) && farBeyondPrediction {
			p.recordUnserved(a, 1)
		}
	case ConnectionReset:
		if e.AnswerCorrupted {
			p.recordWorkerAnswered(a.worker)
		} else {
			p.learnFromReset(a)
		}
	case Unreachable:
		p.eject(a.worker)
	}
}

// recordUnserved records, for a's class and worker, whether a was unserved (1) or served (0).
func (p *Policy) recordUnserved(a *attempt, unserved float64) {
	a.worker.health.unserved[a.request.arrived.Class].observe(p.now, unserved)
}

// learnFromAnswer updates the estimates from the answer of a served attempt. The answer shows that the
// function is loaded at the worker, and how long loads, queueing and runs take.
func (p *Policy) learnFromAnswer(a *attempt, e AttemptEnded) {
	r := a.request
	p.observeLoadReport(a.worker, e.LoadReport) // before the queueing delay is predicted from it
	latency := nanoseconds(e.Duration)
	runTime := p.predictedRunTime(r)
	queueing := p.queueingDelay(a.worker, a.inFlightBefore)
	waitedForLoad := p.waitedForLoad(e, runTime+queueing, r.function)
	p.learnInstance(a)
	p.learnLateness(a, e, latency-runTime)
	// If MissWhenNotLoaded is set, a worker serves an attempt only if the function is already loaded.
	unexpectedlyWarm := a.wasCold && p.cfg.MissWhenNotLoaded
	if waitedForLoad || unexpectedlyWarm {
		if p.startedLoad(a, e, waitedForLoad) {
			p.loadSucceeded(latency-runTime-queueing, r.function)
		}
		return // the latency includes a load, or the instance was not in the state that was assumed
	}
	p.learnQueueing(a, e, runTime, queueing)
	p.learnRunTime(r, max(latency-queueing, latency*minRunTimeShare), runTime)
}

// waitedForLoad reports whether an answer waited for a load. If answers do not report loads, it compares the
// latency with expected, the latency that is expected of a warm instance.
func (p *Policy) waitedForLoad(e AttemptEnded, expected nanoseconds, f *function) bool {
	if p.cfg.InstanceStatusInAnswers || p.cfg.MissWhenNotLoaded {
		return e.InstanceStatus == LoadStarted || e.InstanceStatus == LoadAwaited
	}
	return nanoseconds(e.Duration) > expected+p.predictedLoadTime(f)*loadWaitShare
}

// startedLoad reports whether an answered attempt started a load itself, so that its latency includes the
// whole load.
func (p *Policy) startedLoad(a *attempt, e AttemptEnded, waitedForLoad bool) bool {
	if e.InstanceStatus == InstanceUnknown {
		return a.wasCold && waitedForLoad
	}
	return e.InstanceStatus == LoadStarted
}

// learnInstance records that the function is loaded at the worker, and updates the largest number of this
// router's requests that the worker has served at the same time.
func (p *Policy) learnInstance(a *attempt) {
	i := a.instance
	i.warmUntil = p.now + p.cfg.InstanceKeepAlive
	i.loadEndsAt = 0
	i.concurrency = max(i.concurrency, i.inFlight+1) // including this attempt, which has just ended
	p.announce(i, a.request.function)
}

// learnLateness updates the standing delay, which covers all workers, and the saturation of the function's
// replicas. delay is the answer's latency without the predicted run time. An answer that reports a load
// raises neither of them.
func (p *Policy) learnLateness(a *attempt, e AttemptEnded, delay nanoseconds) {
	f := a.request.function
	objective := p.classOf(a.request).settings.LatencyObjective
	// If answers do not report loads, every answer counts as one without a load.
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
// and the excess delay. runTime and queueing are the predicted run time and queueing delay.
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

// observeLoadReport predicts a delay from the queue length in a load report, and records it as one
// observation of the excess delay at w. A report belongs to no class, so the objective of the first class
// bounds the delay.
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

// learnFromRejection updates the estimates from an answer without a result: an error, a rejection or a miss.
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
	case e.Outcome == Errored && a.request.function.served: // otherwise, the request may cause the error
		p.recordUnserved(a, 1)
	case e.Outcome == WorkerOverloaded && a.expectedWarm():
		p.learnFromOverload(a, e)
	}
}

// learnFromOverload learns that the worker has no capacity left for a function that it has loaded: one more
// replica is needed, and the delay at the worker is at least outlierClip run times.
func (p *Policy) learnFromOverload(a *attempt, e AttemptEnded) {
	queue := &a.worker.queue
	a.request.function.recordSaturation(p.readyWorkers)
	p.observeLoadReport(a.worker, e.LoadReport)
	queue.observeExcess(p.now, max(outlierClip*p.predictedRunTime(a.request), queue.excess(p.now)))
}

// learnFromReset counts a connection reset as a failure and checks the worker's health. It ignores a reset
// while a health check is pending. It also ignores further resets at the same clock reading, because all
// attempts on a broken connection end at the same reading. The health check shows whether the worker failed.
// If health checks are not allowed, the next attempt at the worker shows it, because that attempt opens a new
// connection. (In this case, learnFromLoadCommand ejects the worker after the reset of a load command,
// because there may be no next attempt.)
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
