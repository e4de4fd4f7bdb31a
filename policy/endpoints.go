package policy

import "time"

// resubscribeDivisor is the part of ImplicitListAge after which a lost subscription is renewed. What was
// listed ImplicitListAge ago counts as known to us, whether we were told or not: the renewal must come well
// before. A higher divisor costs the directory more calls.
const resubscribeDivisor = 8

// worker is what the policy knows and believes of one worker.
type worker struct {
	endpoint     Endpoint      // as last listed
	inFlight     []*attempt    // our attempts, in the order of their sends
	loadCommands int           // our load commands that have no answer yet
	health       health        // whether it serves; see outlier.go
	slowStart    slowStart     // what it bears after a start; see slow_start.go
	queue        queueEstimate // how long requests queue there
	instances    map[FunctionID]*instance
}

func (w *worker) id() WorkerID { return w.endpoint.Worker }

// instance returns what is believed of a function at w. It adds an entry for one that is not known.
func (w *worker) instance(f FunctionID) *instance {
	if w.instances[f] == nil {
		w.instances[f] = &instance{worker: w}
	}
	return w.instances[f]
}

// isUnused reports whether w may be forgotten.
func (w *worker) isUnused() bool {
	return w.endpoint.State == Gone && len(w.inFlight) == 0 && w.loadCommands == 0
}

// endpointsUpdated applies an update of the endpoint list, or renews the subscription after a failure.
func (p *Policy) endpointsUpdated(update EndpointUpdate) {
	if update.Kind == UpdateFailed {
		p.subscribed = false
		after := max(p.cfg.ImplicitListAge/resubscribeDivisor, housekeepingInterval)
		p.setTimer(after, timer{kind: resubscribeTimer})
		return
	}
	if update.Kind != CachedUpdate {
		p.subscribed = true
	}
	listed := map[WorkerID]bool{}
	for _, e := range update.Endpoints {
		listed[e.Worker] = true
		p.endpointUpdated(e)
	}
	if update.Kind != IncrementalUpdate {
		p.markUnlistedGone(listed)
	}
	p.countReadyWorkers()
}

// markUnlistedGone marks the workers that a whole list lacks as gone.
func (p *Policy) markUnlistedGone(listed map[WorkerID]bool) {
	for _, w := range p.fleet {
		if !listed[w.id()] {
			w.endpoint.State = Gone
		}
	}
}

func (p *Policy) countReadyWorkers() {
	p.readyWorkers = 0
	for _, w := range p.fleet {
		if w.endpoint.State == Ready {
			p.readyWorkers++
		}
	}
}

// endpointUpdated applies one entry of the endpoint list. A worker whose process is new starts without a
// past.
func (p *Policy) endpointUpdated(e Endpoint) {
	w, known := p.workers[e.Worker]
	if !known {
		w = &worker{instances: map[FunctionID]*instance{}}
		p.workers[e.Worker] = w
		p.fleet = append(p.fleet, w)
	}
	if !known || e.StartedAt > w.endpoint.StartedAt {
		p.resetWorker(w, e.StartedAt)
	}
	w.endpoint = e
}

// resetWorker drops what was learned of an earlier process of w, and begins the slow start of the one started
// at startedAt. Attempts in flight and load commands stay until they end, and an attempt in flight goes on
// making its instance count as warm; lastHeard and the recent sends of an earlier slow start stay too.
func (p *Policy) resetWorker(w *worker, startedAt time.Duration) {
	for _, i := range w.instances {
		i.markNotLoaded()
	}
	w.queue = queueEstimate{}
	w.health.unserved = make([]decayingMean, len(p.classes))
	w.health.consecutiveFailures = 0
	w.health.ejectedUntil = 0
	w.slowStart.startedAt = startedAt
	w.slowStart.roundingDraw = p.rng.Float64()
}
