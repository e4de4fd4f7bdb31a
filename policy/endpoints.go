package policy

import "time"

// A lost subscription is renewed after ImplicitListAge divided by resubscribeDivisor, but not before
// housekeepingInterval has passed. A router without a subscription is assumed to know an endpoint that was
// listed at least ImplicitListAge ago, whether or not the router received the update, so the renewal must
// come well before that age. With a higher divisor, the router calls the directory more often.
const resubscribeDivisor = 8

// worker holds what the policy knows and estimates about one worker.
type worker struct {
	endpoint     Endpoint      // as last listed
	inFlight     []*attempt    // this router's attempts, in the order in which they were sent
	loadCommands int           // this router's load commands that have no answer yet
	health       health        // whether the worker answers; see outlier.go
	slowStart    slowStart     // the worker's limit after a start; see slow_start.go
	queue        queueEstimate // how long requests queue at the worker
	instances    map[FunctionID]*instance
}

func (w *worker) id() WorkerID { return w.endpoint.Worker }

// instance returns the entry of a function at w. It adds one if there is none.
func (w *worker) instance(f FunctionID) *instance {
	if w.instances[f] == nil {
		w.instances[f] = &instance{worker: w}
	}
	return w.instances[f]
}

// isUnused reports whether the policy may delete its entry of w: w is gone, and no attempt or load command of
// this router is open there.
func (w *worker) isUnused() bool {
	return w.endpoint.State == Gone && len(w.inFlight) == 0 && w.loadCommands == 0
}

// endpointsUpdated applies an update of the endpoint list, or sets a timer to resubscribe after a failure.
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

// markUnlistedGone marks the workers that are missing from a full list as gone.
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

// endpointUpdated applies one entry of the endpoint list. If the worker's process is new, endpointUpdated
// drops what was learned about the earlier process.
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

// resetWorker drops what was learned about the earlier process of w, and begins the slow start of the process
// that started at startedAt. Attempts in flight and load commands stay until they end, and an attempt in
// flight still makes its instance count as warm. lastAnswer, the state and times of health checks and resets,
// and the recent sends of an earlier slow start stay too.
func (p *Policy) resetWorker(w *worker, startedAt time.Duration) {
	for _, i := range w.instances {
		i.markNotLoaded()
	}
	w.queue = queueEstimate{}
	w.health.unserved = make([]decayingMean, len(p.classes))
	w.health.consecutiveEjections = 0
	w.health.ejectedUntil = 0
	w.slowStart.startedAt = startedAt
	w.slowStart.roundingDraw = p.rng.Float64()
}
