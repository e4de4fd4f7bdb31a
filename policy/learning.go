package policy

const (
	// minRunTimeShare is the least part of an answer's time that counts as run time, whatever queueing is
	// predicted. An estimate of the queue that is too high would else make the run time vanish. Higher, and
	// queues count as run time.
	minRunTimeShare = 0.25

	// loadWaitShare is the part of a load by which an answer must be late to show that it waited for a load,
	// where answers do not say so. Higher, and loads count as queueing; lower, and queueing counts as loads.
	loadWaitShare = 0.5

	// The standing delay follows a rise slowly, over about 20 answers, and a fall fast, over 4: it is what
	// most answers exceed, and sheds load only while that goes on.
	standingDelayRiseAnswers = 20
	standingDelayFallAnswers = 4

	// loadRatioGain is the weight of one load in the ratio of the real to the hinted load time: about five
	// loads are remembered. Higher, and one odd load decides; lower, and a store that has slowed down is
	// noticed late.
	loadRatioGain = 0.2

	// The bounds of the ratio that one load can show.
	minLoadRatio = 0.2
	maxLoadRatio = 10
)

// learnFromOutcome learns from the end of an attempt what it says of its worker and its function. NotSent
// says nothing.
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
		// It counts if the worker had all of the request's time, no load was expected, and it took far longer
		// than predicted. An early cancel by the client or by us proves nothing. It counts for the class
		// alone: the worker may serve others well.
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

// recordUnserved counts an attempt of its class at its worker as unserved (1) or served (0).
func (p *Policy) recordUnserved(a *attempt, unserved float64) {
	a.worker.health.unserved[a.request.arrived.Class].observe(p.now, unserved)
}

// learnFromAnswer learns from an answer with a result: where the function is loaded, how long loads, queues
// and runs take.
func (p *Policy) learnFromAnswer(a *attempt, e AttemptEnded) {
	r := a.request
	p.observeLoadReport(a.worker, e.LoadReport) // first: it is part of the queueing that is predicted next
	latency := nanoseconds(e.Duration)
	runTime := p.predictedRunTime(r)
	queueing := p.queueingDelay(a.worker, a.inFlightBefore)
	waitedForLoad := p.waitedForLoad(e, runTime+queueing, r.function)
	p.learnInstance(a)
	p.learnLateness(a, e, latency-runTime)
	unexpectedlyWarm := a.wasCold && p.cfg.MissWhenNotLoaded // the function was loaded there
	if waitedForLoad || unexpectedlyWarm {
		if p.startedLoad(a, e, waitedForLoad) {
			p.loadSucceeded(latency-runTime-queueing, r.function)
		}
		return // its time is not that of a queue and a run at a worker as we knew it
	}
	p.learnQueueing(a, e, runTime, queueing)
	p.learnRunTime(r, max(latency-queueing, latency*minRunTimeShare), runTime)
}

// waitedForLoad reports whether an answer waited for a load: as it says, or where answers do not, as its time
// tells beside what was expected of a warm instance.
func (p *Policy) waitedForLoad(e AttemptEnded, expected nanoseconds, f *function) bool {
	if p.cfg.InstanceStatusInAnswers || p.cfg.MissWhenNotLoaded {
		return e.InstanceStatus == LoadStarted || e.InstanceStatus == LoadAwaited
	}
	return nanoseconds(e.Duration) > expected+p.predictedLoadTime(f)*loadWaitShare
}

// startedLoad reports whether an answered attempt began the load itself, so that its time is that of a whole
// load.
func (p *Policy) startedLoad(a *attempt, e AttemptEnded, waitedForLoad bool) bool {
	if e.InstanceStatus == InstanceUnknown {
		return a.wasCold && waitedForLoad
	}
	return e.InstanceStatus == LoadStarted
}

// learnInstance learns that the function is loaded at the worker, and how many requests are served there at a
// time.
func (p *Policy) learnInstance(a *attempt) {
	i := a.instance
	i.warmUntil = p.now + p.cfg.InstanceKeepAlive
	i.loadEndsAt = 0
	i.concurrency = max(i.concurrency, i.inFlight+1) // with this one, which has just ended
	p.announce(i, a.request.function)
}

// learnLateness learns whether answers without a load are late: for all workers, as the standing delay, and
// for the function, as the saturation of its replicas. delay is the answer's time beyond the run time.
func (p *Policy) learnLateness(a *attempt, e AttemptEnded, delay nanoseconds) {
	f := a.request.function
	objective := p.classOf(a.request).settings.LatencyObjective
	// Where answers do not tell of loads, one that was slowed by a load counts here too.
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

// observeStandingDelay moves the standing delay towards that of an answer, which counts as most at the most.
func (p *Policy) observeStandingDelay(delay, maxDelay nanoseconds) {
	answers := nanoseconds(standingDelayRiseAnswers)
	if delay < p.estimates.standingDelay {
		answers = standingDelayFallAnswers
	}
	p.estimates.standingDelay += (min(delay, maxDelay) - p.estimates.standingDelay) / answers
}

// learnQueueing learns how long requests queue at the worker: over our requests in flight, and beyond them.
func (p *Policy) learnQueueing(a *attempt, e AttemptEnded, runTime, queueing nanoseconds) {
	queue := &a.worker.queue
	inFlight := float64(a.inFlightBefore)
	delay := nanoseconds(e.Duration) - runTime
	maxDelay := outlierClip * p.objective(a.request)
	ownDelay := queueing - max(0, queue.excess(p.now)) // what our requests in flight explain of the delay
	queue.observeExcess(p.now, min(delay, maxDelay)-ownDelay)
	delay = clamp(delay, -runTime, outlierClip*(runTime+queueing))
	queue.slope.observe(inFlight, float64(delay))
	p.estimates.queueSlope.observe(inFlight, float64(delay))
	if queued := p.estimates.reportedQueue(e.LoadReport); queued >= 0 {
		p.estimates.delayPerQueued.observe(queued, float64(max(delay-ownDelay, 0)))
	}
}

// observeLoadReport counts a load report as one answer that was delayed by the queue that it tells. A report
// belongs to no class; the first one's objective bounds the delay.
func (p *Policy) observeLoadReport(w *worker, report []float64) {
	queued := p.estimates.reportedQueue(report)
	if queued < 0 {
		return
	}
	maxDelay := outlierClip * nanoseconds(p.classes[0].settings.LatencyObjective)
	w.queue.observeExcess(p.now, min(nanoseconds(p.estimates.delayPerQueued.predict(queued)), maxDelay))
}

// learnRunTime learns from a run time: the mean of r's function and class, and what work hints are worth.
// predicted is what was expected.
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
		i.loadEndsAt = 0 // the worker began no load for it
	}
	switch {
	case e.InstanceStatus == LoadFailed:
		p.loadBackoff.extend(p.now, 1)
	case e.Outcome == Errored && a.request.function.served: // else the request may be to blame
		p.recordUnserved(a, 1)
	case e.Outcome == WorkerOverloaded && a.expectedWarm():
		p.learnFromOverload(a, e)
	}
}

// learnFromOverload learns that the worker has no room for a function that it has loaded: one replica more is
// wanted, and the delay there counts as far beyond a run time.
func (p *Policy) learnFromOverload(a *attempt, e AttemptEnded) {
	queue := &a.worker.queue
	a.request.function.recordSaturation(p.readyWorkers)
	p.observeLoadReport(a.worker, e.LoadReport)
	queue.observeExcess(p.now, max(outlierClip*p.predictedRunTime(a.request), queue.excess(p.now)))
}

// learnFromReset takes the first reset at a clock reading as the sign of a broken connection; further
// attempts on it end at the same one. A health check tells whether the worker failed; where none may be sent,
// the next dial does, which a request makes in any case. (A load command's reset ejects the worker there: no
// request may follow it.)
func (p *Policy) learnFromReset(a *attempt) {
	w := a.worker
	if w.health.checkPending || w.health.lastReset == p.now {
		return
	}
	w.health.lastReset = p.now
	p.recordUnserved(a, 1)
	p.checkHealth(w)
}

// loadSucceeded learns from a whole load of f, which ends the backoff.
func (p *Policy) loadSucceeded(duration nanoseconds, f *function) {
	p.loadBackoff = loadBackoff{}
	ratio := clamp(float64(duration)/float64(f.loadTime), minLoadRatio, maxLoadRatio)
	p.estimates.loadRatio += loadRatioGain * (ratio - p.estimates.loadRatio)
}
