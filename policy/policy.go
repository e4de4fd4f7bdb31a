package policy

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// housekeepingInterval is the time between two runs of the periodic work. It bounds how late a waiting
	// request, a silent worker or a pending gossip message is noticed. The interval is far below any latency
	// objective, and the periodic work is cheap. A shorter interval costs more processor time; a longer
	// interval adds latency. housekeepingInterval is also the shortest Retry-After before its random
	// reduction, the shortest wait before a new subscription, and the unit of the pauses between health
	// checks and between loads while loads fail.
	housekeepingInterval = 50 * time.Millisecond

	// maxCandidatesAtOnce limits the work of one call of continuePlacing, in workers that are examined for a
	// request. A higher limit makes answers of other requests wait longer in a large fleet; a lower limit
	// makes more timers.
	maxCandidatesAtOnce = 16384

	// sweepInterval is the time between two sweeps, which decay the served work and delete unused entries.
	sweepInterval = time.Second

	// functionRetention is how long the policy keeps a function after its last request. It bounds the memory
	// for functions that are requested only once, together with limitFunctions; a function that is requested
	// again later starts from the estimates of its class.
	functionRetention = 2 * time.Minute

	// rngStream is the second half of the random generator's seed. Any fixed number works; it is the same at
	// all routers.
	rngStream = 0x7468796d65
)

// Policy takes the decisions of one router. It is not safe for concurrent use.
type Policy struct {
	cfg Config
	rng *rand.Rand // source of every random choice
	// replicaSeed differs between routers, so that they use different replicas of a function; see replica.
	replicaSeed uint64

	now             time.Duration // time of the event that is being handled
	actions         []Action      // actions emitted for that event so far
	lastSweep       time.Duration
	lastExploration time.Duration // when explore last let a request be sent

	workers      map[WorkerID]*worker
	fleet        []*worker // the same workers, in the order in which they were first listed
	readyWorkers int       // number of workers in the state Ready
	subscribed   bool      // a subscription to the endpoint list is active

	requests  map[RequestID]*request
	waiting   waitQueue // requests that no worker may take now; housekeeping places them again
	functions map[FunctionID]*function
	// placementsLeft is how many of the waiting requests are still to be tried since the last housekeeping.
	placementsLeft int
	// evictionThreshold is the number of entries at which limitFunctions evicts functions next, if it is
	// above MaxFunctionEntries.
	evictionThreshold int

	classes []class       // by RequestArrived.Class
	quotas  []tokenBucket // by RequestArrived.Tenant

	estimates    fleetEstimates
	loadBackoff  loadBackoff
	loadCommands loadCommandBudget
	gossip       gossipOutbox
}

// New returns a Policy for one router, or a [*ConfigError]. All random choices of the Policy follow from
// seed. The routers of a fleet need different seeds, so that they use different replicas of a function. The
// first timer and the subscription are requested with the actions of the first event; no timer runs before
// that.
func New(cfg Config, seed uint64) (*Policy, error) {
	if err := validate(&cfg); err != nil {
		return nil, err
	}
	cfg.RouterCount = max(cfg.RouterCount, 1)
	p := &Policy{
		cfg:          cfg,
		rng:          rand.New(rand.NewPCG(seed, rngStream)),
		replicaSeed:  seed,
		workers:      map[WorkerID]*worker{},
		requests:     map[RequestID]*request{},
		functions:    map[FunctionID]*function{},
		estimates:    newFleetEstimates(cfg.LoadReportFields),
		loadCommands: newLoadCommandBudget(&cfg),
	}
	for _, settings := range cfg.Classes {
		p.classes = append(p.classes, newClass(settings))
	}
	for _, tenant := range cfg.Tenants {
		p.quotas = append(p.quotas, newTokenBucket(tenant, cfg.RouterCount))
	}
	p.setTimer(housekeepingInterval, timer{kind: housekeepingTimer})
	p.emit(Subscribe{On: true})
	return p, nil
}

// Handle processes an event that happened at now, and appends the resulting actions to actions. If now is
// earlier than the time of the previous event, it counts as that time. Events of unknown requests, attempts,
// workers, functions and timers are ignored. The policy keeps neither the event's slices nor actions; the
// caller owns the data of a SendGossip.
func (p *Policy) Handle(now time.Duration, event Event, actions []Action) []Action {
	p.now = max(now, p.now)
	p.actions = append(actions, p.actions...)
	switch e := event.(type) {
	case EndpointUpdate:
		p.endpointsUpdated(e)
	case RequestArrived:
		p.requestArrived(e)
	case ResponseStarted:
		p.responseStarted(e)
	case AttemptEnded:
		p.attemptEnded(e)
	case ClientCancelled:
		p.clientCancelled(e)
	case LoadCommandEnded:
		p.loadCommandEnded(e)
	case HealthCheckEnded:
		p.healthCheckEnded(e)
	case GossipReceived:
		p.gossipReceived(e.Data)
	case TimerFired:
		p.timerFired(e)
	}
	actions = p.actions
	p.actions = nil
	return actions
}

// housekeeping does the periodic work and sets the timer of the next run.
func (p *Policy) housekeeping() {
	p.setTimer(housekeepingInterval, timer{kind: housekeepingTimer})
	p.sendDueHealthChecks()
	p.sendGossip()
	p.placeWaiting()
	if p.now-p.lastSweep >= sweepInterval {
		p.sweep()
	}
}

// placeWaiting begins to try again to place the requests that no worker could take.
func (p *Policy) placeWaiting() {
	p.placementsLeft = len(p.waiting.requests)
	p.continuePlacing()
}

// continuePlacing tries to place a part of the requests that are left of placeWaiting, and sets a timer if
// some remain, because the router does nothing else meanwhile. A request that still finds no worker continues
// to wait if there is enough time; otherwise it is refused.
func (p *Policy) continuePlacing() {
	count := min(max(maxCandidatesAtOnce/max(len(p.fleet), 1), 1), p.placementsLeft)
	p.placementsLeft -= count
	for _, r := range p.waiting.take(count) {
		p.place(r)
	}
	p.placementsLeft = min(p.placementsLeft, len(p.waiting.requests))
	if p.placementsLeft > 0 {
		p.setTimer(p.cfg.Tick, timer{kind: placementTimer})
	}
}

// sweep decays the served work and deletes the unused workers, instances and functions, and the old sends
// to workers in slow start.
func (p *Policy) sweep() {
	p.lastSweep = p.now
	p.estimates.decayServedWork()
	p.fleet = slices.DeleteFunc(p.fleet, (*worker).isUnused)
	maps.DeleteFunc(p.workers, func(_ WorkerID, w *worker) bool { return w.isUnused() })
	for _, w := range p.fleet {
		maps.DeleteFunc(w.instances, func(_ FunctionID, i *instance) bool { return i.isUnused(p.now) })
		w.slowStart.dropSendsBefore(p.now - p.cfg.OverloadWindow)
	}
	oldest := p.now - functionRetention
	maps.DeleteFunc(p.functions, func(_ FunctionID, f *function) bool { return f.lastRequest < oldest })
}
