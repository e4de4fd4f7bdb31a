package policy

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	housekeepingInterval = 50 * time.Millisecond // far below any latency objective, yet cheap
	sweepInterval        = time.Second           // also between trials, and the time of a first ejection
	functionMemory       = 2 * time.Minute       // after its last request a function is forgotten

	housekeepingToken, resubscribeToken = 0, 1    // of timers
	deadlineTokenBase                   = 1 << 32 // plus the request's id
)

// Policy takes the decisions of one router. It is not safe for concurrent use.
type Policy struct {
	now, lastTrial, lastSweep time.Duration
	cfg                       Config
	rng                       *rand.Rand
	identity                  uint64   // has routers keep to different replicas of a function
	actions                   []Action // of the event being handled
	fleetEstimates
	workers      map[WorkerID]*worker
	fleet        []*worker // the same, in the order of their first listing
	readyWorkers int
	subscribed   bool
	requests     map[RequestID]*request
	waiting      []*request // no worker may take them now; each housekeeping tries again
	functions    map[FunctionID]*function
	classes      []class
	tenants      []tokenBucket
	loadBackoff  loadBackoff
	loadCommands loadCommandBudget
	gossip       gossipOutbox
}

// New returns a Policy for one router, whose random choices all follow from seed, or a [*ConfigError].
func New(cfg Config, seed uint64) (*Policy, error) {
	if err := validate(&cfg); err != nil {
		return nil, err
	}
	cfg.RouterCount = max(cfg.RouterCount, 1)
	p := &Policy{cfg: cfg, identity: seed, rng: rand.New(rand.NewPCG(seed, 0x7468796d65)),
		fleetEstimates: fleetEstimates{loadRatio: 1, queueField: slices.Index(cfg.LoadReportFields, "queue")},
		workers:        map[WorkerID]*worker{},
		requests:       map[RequestID]*request{}, functions: map[FunctionID]*function{}}
	for _, c := range cfg.Classes {
		mean := initialRunTimeShare * float64(c.LatencyObjective)
		p.classes = append(p.classes, class{Class: c, runTime: runTimeEstimate{mean: mean},
			actualWork: runTimePrior * mean, hintedWork: runTimePrior * mean})
	}
	for _, t := range cfg.Tenants {
		rate := clamp(t.QuotaPerSecond, 0, 1e9) / float64(cfg.RouterCount)
		p.tenants = append(p.tenants, tokenBucket{tokens: rate + 1, refillPerSecond: rate})
	}
	p.emit(SetTimer{After: housekeepingInterval, Token: housekeepingToken}) // with the first event's actions
	p.emit(Subscribe{On: true})
	return p, nil
}

func validate(cfg *Config) error {
	if len(cfg.Classes) == 0 {
		return &ConfigError{"Classes", "empty"}
	}
	for i, c := range cfg.Classes {
		if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.DedupWindow < 0 ||
			c.Idempotency > NotIdempotent || c.DedupScope > DedupCell {
			return &ConfigError{fmt.Sprintf("Classes[%d]", i), fmt.Sprintf("impossible: %+v", c)}
		}
	}
	for field, v := range map[string]float64{
		"MaxAttempts": float64(cfg.MaxAttempts), "Tick": float64(cfg.Tick),
		"SlowStartCapacity": cfg.SlowStartCapacity, "SlowStartDuration": float64(cfg.SlowStartDuration),
		"OverloadMultiple": cfg.OverloadMultiple, "OverloadWindow": float64(cfg.OverloadWindow),
		"InstanceKeepAlive": float64(cfg.InstanceKeepAlive), "LoadCommandWindow": float64(cfg.LoadCommandWindow),
		"LoadCommandAllowance": cfg.LoadCommandAllowance, "LoadCommandsPerRequest": cfg.LoadCommandsPerRequest,
	} {
		if math.IsNaN(v) || math.IsInf(v, 1) || v < 0 || field == "SlowStartCapacity" && v > 1 {
			return &ConfigError{field, fmt.Sprintf("impossible: %v", v)}
		}
	}
	return nil
}

// Handle takes an event, which happened at now, and appends the actions that answer it to actions.
func (p *Policy) Handle(now time.Duration, event Event, actions []Action) []Action {
	p.now, p.actions = max(now, p.now), append(actions, p.actions...)
	switch e := event.(type) {
	case EndpointUpdate:
		p.endpointsUpdated(e)
	case RequestArrived:
		p.requestArrived(e)
	case ResponseStarted:
		if r := p.requests[e.Request]; r != nil {
			r.responseStarted = true
		}
	case AttemptEnded:
		p.attemptEnded(e)
	case ClientCancelled:
		if r := p.requests[e.Request]; r != nil {
			p.closeRequest(r)
		}
	case LoadCommandEnded:
		p.loadCommandEnded(e)
	case HealthCheckEnded:
		p.healthCheckEnded(e)
	case GossipReceived:
		p.gossipReceived(e.Data)
	case TimerFired:
		if r := p.requests[RequestID(e.Token-deadlineTokenBase)]; e.Token == housekeepingToken {
			p.housekeeping()
		} else if e.Token == resubscribeToken {
			p.emit(Subscribe{On: true})
		} else if e.Token >= deadlineTokenBase && r != nil && !r.responseStarted {
			p.giveUp(r, 0, DeadlineExceeded)
		}
	}
	actions, p.actions = p.actions, nil
	return actions
}

func (p *Policy) housekeeping() {
	p.emit(SetTimer{After: housekeepingInterval, Token: housekeepingToken})
	p.checkSuspects()
	p.sendGossip()
	waiting := p.waiting
	p.waiting = nil
	for _, r := range waiting {
		p.place(r)
	}
	if p.now-p.lastSweep >= sweepInterval {
		p.lastSweep = p.now
		p.servedWork -= p.servedWork * float64(sweepInterval) / float64(rateMemory)
		p.sweep()
	}
}

func (p *Policy) sweep() { // what is no longer used
	unused := func(w *worker) bool { return w.State == Gone && len(w.inFlight) == 0 && w.loadCommands == 0 }
	p.fleet = slices.DeleteFunc(p.fleet, unused)
	maps.DeleteFunc(p.workers, func(_ WorkerID, w *worker) bool { return unused(w) })
	for _, w := range p.fleet {
		maps.DeleteFunc(w.instances, func(_ FunctionID, i *instance) bool {
			return i.inFlight == 0 && !i.loadCommandPending && p.now > i.warmUntil && p.now > i.loadEndsAt
		})
	}
	oldest := p.now - functionMemory
	maps.DeleteFunc(p.functions, func(_ FunctionID, f *function) bool { return f.lastRequest < oldest })
}
