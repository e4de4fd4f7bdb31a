package policy

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// housekeepingInterval is the time between two runs of the periodic work. It bounds how late a waiting
	// request, a silent worker or a pending gossip message is noticed: far below any latency objective, and
	// cheap. A shorter interval costs processor time, a longer one latency. It is also the least Retry-After
	// and resubscribe wait, and the unit of the pauses between health checks and between loads that fail.
	housekeepingInterval = 50 * time.Millisecond

	// sweepInterval is the time between two sweeps, which decay the served work and forget what is unused.
	sweepInterval = time.Second

	// functionRetention is how long after its last request a function is remembered. It bounds the memory for
	// functions that are requested once; a function that comes back later starts from its class's estimates.
	// It must exceed LoadCommandTimeout: a load command is settled only while its function is remembered.
	functionRetention = 2 * time.Minute

	// rngStream is the second half of the random generator's seed: any fixed number, the same at all routers.
	rngStream = 0x7468796d65
)

// Policy takes the decisions of one router. It is not safe for concurrent use.
type Policy struct {
	cfg Config
	rng *rand.Rand // draws every random choice
	// replicaSeed differs between routers, so that they prefer different replicas of a function; see replica.
	replicaSeed uint64

	now             time.Duration // of the event that is being handled
	actions         []Action      // that answer it so far
	lastSweep       time.Duration
	lastExploration time.Duration // when a request was last admitted against the estimates; see admit

	workers      map[WorkerID]*worker
	fleet        []*worker // the same workers, in the order of their first listing
	readyWorkers int       // workers in the state Ready
	subscribed   bool      // a subscription to the endpoint list is in force

	requests  map[RequestID]*request
	waiting   []*request // no worker may take them now; housekeeping places them again
	functions map[FunctionID]*function
	classes   []class       // by RequestArrived.Class
	quotas    []tokenBucket // by RequestArrived.Tenant

	estimates    fleetEstimates
	loadBackoff  loadBackoff
	loadCommands loadCommandBudget
	gossip       gossipOutbox
}

// New returns a Policy for one router, whose random choices all follow from seed, or a [*ConfigError].
// Routers of one fleet need different seeds, so that they keep to different replicas of a function. The first
// timer and the subscription are asked for with the first event's actions: until one is handled, nothing runs
// by itself.
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

// Handle takes an event, which happened at now, and appends the actions that answer it to actions. A now that
// is earlier than that of the event before counts as the same time. Events of unknown requests, attempts,
// workers, functions and timers are ignored. The policy keeps neither the event's slices nor actions; the
// data of a SendGossip are the caller's.
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

// placeWaiting tries again to place the requests that no worker could take. Those that still find none wait
// on.
func (p *Policy) placeWaiting() {
	waiting := p.waiting
	p.waiting = nil
	for _, r := range waiting {
		p.place(r)
	}
}

// sweep decays the served work and forgets workers, instances and functions that are no longer used.
func (p *Policy) sweep() {
	p.lastSweep = p.now
	p.estimates.decayServedWork()
	p.fleet = slices.DeleteFunc(p.fleet, (*worker).isUnused)
	maps.DeleteFunc(p.workers, func(_ WorkerID, w *worker) bool { return w.isUnused() })
	for _, w := range p.fleet {
		maps.DeleteFunc(w.instances, func(_ FunctionID, i *instance) bool { return i.isUnused(p.now) })
	}
	oldest := p.now - functionRetention
	maps.DeleteFunc(p.functions, func(_ FunctionID, f *function) bool { return f.lastRequest < oldest })
}
