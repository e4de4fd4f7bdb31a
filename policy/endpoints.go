package policy

type worker struct {
	Endpoint
	health
	slowStart
	queueEstimate
	inFlight     []*attempt // in the order of their sends
	loadCommands int        // ours without an answer
	instances    map[FunctionID]*instance
}

func (w *worker) instance(f FunctionID) *instance {
	if w.instances[f] == nil {
		w.instances[f] = &instance{worker: w}
	}
	return w.instances[f]
}

func (p *Policy) endpointsUpdated(update EndpointUpdate) {
	if update.Kind == UpdateFailed {
		p.subscribed = false
		p.emit(SetTimer{After: max(p.cfg.ImplicitListAge/8, housekeepingInterval), Token: resubscribeToken})
		return
	}
	p.subscribed = p.subscribed || update.Kind != CachedUpdate
	listed := map[WorkerID]bool{}
	for _, e := range update.Endpoints {
		listed[e.Worker] = true
		p.endpointUpdated(e)
	}
	p.readyWorkers = 0
	for _, w := range p.fleet {
		if update.Kind != IncrementalUpdate && !listed[w.Worker] {
			w.State = Gone
		}
		if w.State == Ready {
			p.readyWorkers++
		}
	}
}

func (p *Policy) endpointUpdated(e Endpoint) {
	w, known := p.workers[e.Worker]
	if !known {
		w = &worker{instances: map[FunctionID]*instance{}}
		p.workers[e.Worker] = w
		p.fleet = append(p.fleet, w)
	}
	if !known || e.StartedAt > w.StartedAt { // nothing that was learned of an earlier process holds
		for _, i := range w.instances {
			i.forget()
		}
		w.queueEstimate = queueEstimate{}
		w.unserved = make([]decayingMean, len(p.classes))
		w.consecutiveFailures, w.ejectedUntil = 0, 0
		w.warmingSince, w.rounding = e.StartedAt, p.rng.Float64()
	}
	w.Endpoint = e
}
