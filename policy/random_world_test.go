package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// ruleChecker follows the actions of a random world and reports broken rules. It shares no code with the policy.
type ruleChecker struct {
	t            *testing.T
	cfg          Config
	now          time.Duration
	requests     map[RequestID]*observedRequest
	workerStates map[WorkerID]WorkerState
	loadCommands []time.Duration // times of the load commands
	arrivals     []time.Duration // times of the requests
}

// observedRequest is what a ruleChecker has seen of a request.
type observedRequest struct {
	class        int
	deadline     time.Duration
	workers      []WorkerID      // by attempt
	sentAt       []time.Duration // by attempt
	open         map[int]bool    // the attempts in flight
	mayHaveRun   bool
	mayHaveRunAt time.Duration // when the first attempt that may have run was sent
	answered     bool
}

func (c *ruleChecker) check(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendAttempt:
			c.checkSend(a)
		case RefuseRequest:
			c.checkRefusal(a)
		case FailRequest:
			c.checkFinalAnswer(c.requests[a.Request])
		case LoadInstance:
			c.checkLoadCommand(a)
		}
	}
}

func (c *ruleChecker) checkSend(a SendAttempt) {
	r := c.requests[a.Request]
	class := c.cfg.Classes[r.class]
	risky := r.mayHaveRun || len(r.open) > 0
	switch {
	case r.answered:
		c.t.Fatalf("%v: send after the final answer of %d", c.now, a.Request)
	case c.workerStates[a.Worker] != Ready:
		c.t.Fatalf("%v: send to worker %d, which is %v", c.now, a.Worker, c.workerStates[a.Worker])
	case risky && class.Idempotency == NotIdempotent, len(r.open) > 0 && !c.cfg.AllowHedging:
		c.t.Fatalf("%v: repeat of %d", c.now, a.Request)
	case r.mayHaveRun && class.Idempotency == IdempotentWithKey && c.now > r.mayHaveRunAt+class.DedupWindow:
		c.t.Fatalf("%v: keyed repeat outside the window", c.now)
	case len(r.workers) >= c.cfg.MaxAttempts:
		c.t.Fatalf("%v: too many attempts", c.now)
	}
	r.open[len(r.workers)] = true
	r.workers = append(r.workers, a.Worker)
	r.sentAt = append(r.sentAt, c.now)
}

func (c *ruleChecker) checkRefusal(a RefuseRequest) {
	r := c.requests[a.Request]
	class := c.cfg.Classes[r.class]
	mayRunTwice := class.Idempotency == NotIdempotent ||
		class.Idempotency == IdempotentWithKey && class.DedupScope != DedupFleet
	if (r.mayHaveRun || len(r.open) > 0) && mayRunTwice {
		c.t.Fatalf("%v: refusal of %d, which may have run", c.now, a.Request)
	}
	c.checkFinalAnswer(r)
}

func (c *ruleChecker) checkFinalAnswer(r *observedRequest) {
	if r.answered || c.now > r.deadline+8*ms {
		c.t.Fatalf("%v: second or late final answer", c.now)
	}
	r.answered = true
}

func (c *ruleChecker) checkLoadCommand(a LoadInstance) {
	if c.workerStates[a.Worker] != Ready {
		c.t.Fatalf("%v: load command to worker %d, which is %v", c.now, a.Worker, c.workerStates[a.Worker])
	}
	c.loadCommands = append(c.loadCommands, c.now)
	start := c.now - c.cfg.LoadCommandWindow
	commands, arrivals := 0, 0
	for _, at := range c.loadCommands {
		if at >= start {
			commands++
		}
	}
	for _, at := range c.arrivals {
		if at > start {
			arrivals++
		}
	}
	if float64(commands) > c.cfg.LoadCommandAllowance+c.cfg.LoadCommandsPerRequest*float64(arrivals) {
		c.t.Fatalf("%v: %d load commands with %d requests", c.now, commands, arrivals)
	}
}

// randomWorld plays legal but hostile events, in which workers drain, vanish, restart and answer anything.
type randomWorld struct {
	*ruleChecker
	rng         *rand.Rand
	policy      *Policy
	lastRequest RequestID
	timers      []worldTimer
	loads       []LoadInstance // commands without an answer
}

type worldTimer struct {
	at    time.Duration
	token uint64
}

func newRandomWorld(t *testing.T, seed uint64) *randomWorld {
	t.Helper()
	cfg := testConfig()
	cfg.MissWhenNotLoaded, cfg.AllowLoadCommands = seed%2 == 0, seed%3 != 0
	cfg.AllowHedging, cfg.AllowGossip = seed%5 == 0, seed%4 == 0
	cfg.LoadCommandWindow, cfg.LoadCommandAllowance, cfg.LoadCommandsPerRequest = 10*time.Second, 3, 0.2
	p, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	checker := &ruleChecker{
		t: t, cfg: cfg, now: time.Hour, requests: map[RequestID]*observedRequest{},
		workerStates: map[WorkerID]WorkerState{},
	}
	return &randomWorld{ruleChecker: checker, rng: rand.New(rand.NewPCG(seed, 9)), policy: p}
}

func (w *randomWorld) handle(event Event) {
	actions := w.policy.Handle(w.now, event, nil)
	w.check(actions)
	for _, a := range actions {
		switch a := a.(type) {
		case SetTimer:
			w.timers = append(w.timers, worldTimer{w.now + a.After, a.Token})
		case LoadInstance:
			w.loads = append(w.loads, a)
		}
	}
}

func (w *randomWorld) millis(below int) time.Duration { return time.Duration(w.rng.IntN(below)) * ms }

// step plays one event, after the timers that are due.
func (w *randomWorld) step() {
	w.now += w.millis(9)
	for i := 0; i < len(w.timers); i++ {
		if timer := w.timers[i]; timer.at <= w.now {
			w.timers = append(w.timers[:i], w.timers[i+1:]...)
			i--
			w.handle(TimerFired{Token: timer.token})
		}
	}
	switch k := w.rng.IntN(20); {
	case k == 0 && w.rng.IntN(5) == 0:
		w.list()
	case k < 8:
		w.arrive()
	case k == 9 && w.lastRequest > 0:
		w.cancel()
	case k == 10 && len(w.loads) > 0:
		command := w.loads[0]
		w.loads = w.loads[1:]
		w.handle(LoadCommandEnded{
			Worker: command.Worker, Function: command.Function, Outcome: Outcome(w.rng.IntN(6)),
			Duration: 900 * ms, Instances: w.rng.IntN(2),
		})
	case k == 11:
		w.handle(HealthCheckEnded{Worker: WorkerID(w.rng.IntN(8)), Outcome: Outcome(w.rng.IntN(6))})
	default:
		w.endAttempt()
	}
}

// list brings a new endpoint list.
func (w *randomWorld) list() {
	update := EndpointUpdate{Kind: FullUpdate}
	for id := WorkerID(1); id <= 6; id++ {
		e := Endpoint{Worker: id, State: WorkerState(1 + w.rng.IntN(5)/4), Zone: int(id) % 2}
		if w.rng.IntN(4) == 0 {
			e.StartedAt = w.now - w.millis(9000)
		}
		if w.rng.IntN(6) == 0 {
			e.State = Gone
		}
		w.workerStates[id] = e.State
		update.Endpoints = append(update.Endpoints, e)
	}
	w.handle(update)
}

// arrive brings a new request.
func (w *randomWorld) arrive() {
	w.lastRequest++
	left := w.millis(3000)
	w.arrivals = append(w.arrivals, w.now)
	r := &observedRequest{class: w.rng.IntN(3), deadline: w.now + left, open: map[int]bool{}}
	w.requests[w.lastRequest] = r
	w.handle(RequestArrived{
		Request: w.lastRequest, Class: r.class, Function: FunctionID(w.rng.IntN(12)),
		Concurrency: 2, LoadTime: 800 * ms, TimeLeft: left,
	})
}

// cancel has a client leave that has no answer yet.
func (w *randomWorld) cancel() {
	id := 1 + RequestID(w.rng.IntN(int(w.lastRequest)))
	if r := w.requests[id]; !r.answered {
		r.answered = true
		w.handle(ClientCancelled{Request: id})
	}
}

// endAttempt ends the first attempt in flight of one of the latest requests that have one.
func (w *randomWorld) endAttempt() {
	outcomes := []Outcome{
		Served, Served, Errored, WorkerOverloaded, TimedOut, Unreachable, ConnectionReset, Cancelled,
		NotSent, FunctionNotLoaded,
	}
	id := w.chooseOpenRequest()
	if id == 0 {
		return
	}
	r := w.requests[id]
	for n := range r.workers {
		if !r.open[n] {
			continue
		}
		o := outcomes[w.rng.IntN(len(outcomes))]
		delete(r.open, n)
		if !o.NeverRan() && !r.mayHaveRun {
			r.mayHaveRun, r.mayHaveRunAt = true, r.sentAt[n]
		}
		closed := r.answered || o == Served
		r.answered = closed
		w.handle(AttemptEnded{
			Request: id, Attempt: n, Worker: r.workers[n], Outcome: o, RequestClosed: closed,
			Duration: w.now - r.sentAt[n],
		})
		return
	}
}

// chooseOpenRequest draws one of the latest requests with an attempt in flight; 0: none.
func (w *randomWorld) chooseOpenRequest() RequestID {
	for id := w.lastRequest; id > 0; id-- {
		if len(w.requests[id].open) > 0 && w.rng.IntN(3) == 0 {
			return id
		}
	}
	return 0
}

// finish fires all timers late, after which every request must have its final answer.
func (w *randomWorld) finish() {
	w.now += 5 * time.Second
	for _, timer := range w.timers {
		w.now = max(w.now, timer.at)
	}
	for _, r := range w.requests {
		r.deadline = w.now
	}
	for _, timer := range w.timers {
		w.handle(TimerFired{Token: timer.token})
	}
	for id, r := range w.requests {
		if !r.answered {
			w.t.Fatalf("request %d got no final answer", id)
		}
	}
	if len(w.policy.waiting) > len(w.requests) {
		w.t.Fatalf("the books grow: %d requests wait", len(w.policy.waiting))
	}
}

func TestRulesHoldInRandomWorlds(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := newRandomWorld(t, seed)
			w.list()
			for range 3000 {
				w.step()
			}
			w.finish()
		})
	}
}
