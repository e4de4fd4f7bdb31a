package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// ruleChecker fails the test if an action breaks a rule. It does not call the policy's own checks of the rules, so that
// a fault in them is not repeated here. It relies on one function of the policy: endAttempt sets mayHaveRun with
// Outcome.NeverRan.
type ruleChecker struct {
	t            *testing.T
	cfg          Config
	now          time.Duration
	requests     map[RequestID]*observedRequest
	workerStates map[WorkerID]WorkerState
	loadCommands []time.Duration // send times of the load commands
	arrivals     []time.Duration // arrival times of the requests
}

// observedRequest is the state of a request according to its events and actions.
type observedRequest struct {
	class        int
	deadline     time.Duration
	workers      []WorkerID      // by attempt
	sentAt       []time.Duration // by attempt
	inFlight     map[int]bool    // the attempts in flight
	mayHaveRun   bool            // an attempt has ended and its outcome does not prove that it never ran
	mayHaveRunAt time.Duration   // send time of the attempt for which mayHaveRun was set
	answered     bool            // the request has its final answer, or its client has cancelled it
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
	mayRunTwice := r.mayHaveRun || len(r.inFlight) > 0
	switch {
	case r.answered:
		c.t.Fatalf("at %v: request %d sent after its final answer or cancellation", c.now, a.Request)
	case c.workerStates[a.Worker] != Ready:
		c.t.Fatalf("at %v: attempt sent to worker %d, which is %v, want ready", c.now, a.Worker, c.workerStates[a.Worker])
	case mayRunTwice && class.Idempotency == NotIdempotent, len(r.inFlight) > 0 && !c.cfg.AllowHedging:
		c.t.Fatalf("at %v: request %d of a class that is %v sent again: an ended attempt may have run: %v; %d attempts in flight; hedging allowed: %v",
			c.now, a.Request, class.Idempotency, r.mayHaveRun, len(r.inFlight), c.cfg.AllowHedging)
	case r.mayHaveRun && class.Idempotency == IdempotentWithKey && c.now > r.mayHaveRunAt+class.DedupWindow:
		c.t.Fatalf("at %v: request %d, with an idempotency key, sent again after the dedup window, which ended at %v",
			c.now, a.Request, r.mayHaveRunAt+class.DedupWindow)
	case len(r.workers) >= c.cfg.MaxAttempts:
		c.t.Fatalf("at %v: request %d sent %d times, want at most %d", c.now, a.Request, len(r.workers)+1, c.cfg.MaxAttempts)
	}
	r.inFlight[len(r.workers)] = true
	r.workers = append(r.workers, a.Worker)
	r.sentAt = append(r.sentAt, c.now)
}

func (c *ruleChecker) checkRefusal(a RefuseRequest) {
	r := c.requests[a.Request]
	class := c.cfg.Classes[r.class]
	repeatMayDoHarm := class.Idempotency == NotIdempotent ||
		class.Idempotency == IdempotentWithKey && class.DedupScope != DedupFleet
	if (r.mayHaveRun || len(r.inFlight) > 0) && repeatMayDoHarm {
		c.t.Fatalf("at %v: request %d refused although it may have run and a repeat may do harm, want a FailRequest", c.now, a.Request)
	}
	c.checkFinalAnswer(r)
}

func (c *ruleChecker) checkFinalAnswer(r *observedRequest) {
	// A timer may fire 8 ms late, because 8 ms is the longest time between two steps.
	if r.answered || c.now > r.deadline+8*ms {
		c.t.Fatalf("final answer at %v: answered or cancelled before: %v, deadline %v; want one answer, at most 8 ms after the deadline",
			c.now, r.answered, r.deadline)
	}
	r.answered = true
}

func (c *ruleChecker) checkLoadCommand(a LoadInstance) {
	if c.workerStates[a.Worker] != Ready {
		c.t.Fatalf("at %v: load command sent to worker %d, which is %v, want ready", c.now, a.Worker, c.workerStates[a.Worker])
	}
	c.loadCommands = append(c.loadCommands, c.now)
	windowStart := c.now - c.cfg.LoadCommandWindow
	commands, arrivals := 0, 0
	for _, at := range c.loadCommands {
		if at >= windowStart {
			commands++
		}
	}
	for _, at := range c.arrivals {
		if at > windowStart {
			arrivals++
		}
	}
	if float64(commands) > c.cfg.LoadCommandAllowance+c.cfg.LoadCommandsPerRequest*float64(arrivals) {
		c.t.Fatalf("at %v: %d load commands in a window with %d requests exceed the budget of %.1f",
			c.now, commands, arrivals, c.cfg.LoadCommandAllowance+c.cfg.LoadCommandsPerRequest*float64(arrivals))
	}
}

// randomHarness passes random events to a Policy in place of a router. Workers drain, disappear and restart often, and
// attempts end with any outcome. Results of health checks also come from unknown workers and without a health check.
type randomHarness struct {
	*ruleChecker
	rng          *rand.Rand
	policy       *Policy
	lastRequest  RequestID
	timers       []pendingTimer
	pendingLoads []LoadInstance // load commands without an answer
}

// pendingTimer is a timer that the policy has set and that has not fired.
type pendingTimer struct {
	at    time.Duration // when the timer is due
	token uint64
}

func newRandomHarness(t *testing.T, seed uint64) *randomHarness {
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
	return &randomHarness{ruleChecker: checker, rng: rand.New(rand.NewPCG(seed, 9)), policy: p}
}

func (h *randomHarness) handle(event Event) {
	actions := h.policy.Handle(h.now, event, nil)
	h.check(actions)
	for _, a := range actions {
		switch a := a.(type) {
		case SetTimer:
			h.timers = append(h.timers, pendingTimer{h.now + a.After, a.Token})
		case LoadInstance:
			h.pendingLoads = append(h.pendingLoads, a)
		}
	}
}

func (h *randomHarness) randomMillis(below int) time.Duration {
	return time.Duration(h.rng.IntN(below)) * ms
}

// step advances the clock by up to 8 ms, fires the timers that are due, and passes the policy at most one random event.
func (h *randomHarness) step() {
	h.now += h.randomMillis(9)
	for i := 0; i < len(h.timers); i++ {
		if timer := h.timers[i]; timer.at <= h.now {
			h.timers = append(h.timers[:i], h.timers[i+1:]...)
			i--
			h.handle(TimerFired{Token: timer.token})
		}
	}
	switch choice := h.rng.IntN(20); {
	case choice == 0 && h.rng.IntN(5) == 0:
		h.updateEndpoints()
	case choice < 8:
		h.arrive()
	case choice == 9 && h.lastRequest > 0:
		h.cancel()
	case choice == 10 && len(h.pendingLoads) > 0:
		command := h.pendingLoads[0]
		h.pendingLoads = h.pendingLoads[1:]
		h.handle(LoadCommandEnded{
			Worker: command.Worker, Function: command.Function, Outcome: Outcome(h.rng.IntN(6)),
			Duration: 900 * ms, Instances: h.rng.IntN(2),
		})
	case choice == 11:
		h.handle(HealthCheckEnded{Worker: WorkerID(h.rng.IntN(8)), Outcome: Outcome(h.rng.IntN(6))})
	default:
		h.endAttempt()
	}
}

// updateEndpoints passes the policy a new endpoint list of 6 workers with random states and random restarts.
func (h *randomHarness) updateEndpoints() {
	update := EndpointUpdate{Kind: FullUpdate}
	for id := WorkerID(1); id <= 6; id++ {
		e := Endpoint{Worker: id, State: WorkerState(1 + h.rng.IntN(5)/4), Zone: int(id) % 2}
		if h.rng.IntN(4) == 0 {
			e.StartedAt = h.now - h.randomMillis(9000)
		}
		if h.rng.IntN(6) == 0 {
			e.State = Gone
		}
		h.workerStates[id] = e.State
		update.Endpoints = append(update.Endpoints, e)
	}
	h.handle(update)
}

// arrive passes the policy a new request.
func (h *randomHarness) arrive() {
	h.lastRequest++
	timeLeft := h.randomMillis(3000)
	h.arrivals = append(h.arrivals, h.now)
	r := &observedRequest{class: h.rng.IntN(3), deadline: h.now + timeLeft, inFlight: map[int]bool{}}
	h.requests[h.lastRequest] = r
	h.handle(RequestArrived{
		Request: h.lastRequest, Class: r.class, Function: FunctionID(h.rng.IntN(12)),
		Concurrency: 2, LoadTime: 800 * ms, TimeLeft: timeLeft,
	})
}

// cancel draws a request and cancels it in place of its client. It does nothing if the request has already ended.
func (h *randomHarness) cancel() {
	id := 1 + RequestID(h.rng.IntN(int(h.lastRequest)))
	if r := h.requests[id]; !r.answered {
		r.answered = true
		h.handle(ClientCancelled{Request: id})
	}
}

// endAttempt draws a request that has attempts in flight and ends the first of them with a random outcome. It does
// nothing if chooseRequestInFlight returns no request.
func (h *randomHarness) endAttempt() {
	outcomes := []Outcome{
		Served, Served, Errored, WorkerOverloaded, TimedOut, Unreachable, ConnectionReset, Cancelled,
		NotSent, FunctionNotLoaded,
	}
	id := h.chooseRequestInFlight()
	if id == 0 {
		return
	}
	r := h.requests[id]
	for n := range r.workers {
		if !r.inFlight[n] {
			continue
		}
		outcome := outcomes[h.rng.IntN(len(outcomes))]
		delete(r.inFlight, n)
		if !outcome.NeverRan() && !r.mayHaveRun {
			r.mayHaveRun, r.mayHaveRunAt = true, r.sentAt[n]
		}
		closed := r.answered || outcome == Served
		r.answered = closed
		h.handle(AttemptEnded{
			Request: id, Attempt: n, Worker: r.workers[n], Outcome: outcome, RequestClosed: closed,
			Duration: h.now - r.sentAt[n],
		})
		return
	}
}

// chooseRequestInFlight goes through the requests that have an attempt in flight, latest first, and returns each with a
// probability of one third. It returns 0 if it chooses none.
func (h *randomHarness) chooseRequestInFlight() RequestID {
	for id := h.lastRequest; id > 0; id-- {
		if len(h.requests[id].inFlight) > 0 && h.rng.IntN(3) == 0 {
			return id
		}
	}
	return 0
}

// finish advances the clock by at least 5 s, to a time at which all timers are due, and fires them. Then each request
// must have its final answer or be cancelled. Before it fires the timers, finish moves all deadlines to the new time,
// because the timers fire late.
func (h *randomHarness) finish() {
	h.now += 5 * time.Second
	for _, timer := range h.timers {
		h.now = max(h.now, timer.at)
	}
	for _, r := range h.requests {
		r.deadline = h.now
	}
	for _, timer := range h.timers {
		h.handle(TimerFired{Token: timer.token})
	}
	for id, r := range h.requests {
		if !r.answered {
			h.t.Fatalf("request %d has no final answer after all timers have fired", id)
		}
	}
	h.checkNothingIsLeft()
	if len(h.policy.waiting.requests) > len(h.requests) {
		h.t.Fatalf("%d requests wait to be placed, want at most the %d that have arrived", len(h.policy.waiting.requests), len(h.requests))
	}
}

// checkNothingIsLeft ends the attempts in flight and the load commands. The policy must then hold no request, whatever the
// order of their events was.
func (h *randomHarness) checkNothingIsLeft() {
	h.t.Helper()
	for id, r := range h.requests {
		for attempt := range r.inFlight {
			h.handle(AttemptEnded{Request: id, Attempt: attempt, Worker: r.workers[attempt], Outcome: Cancelled})
		}
	}
	for _, load := range h.pendingLoads {
		h.handle(LoadCommandEnded{Worker: load.Worker, Function: load.Function, Outcome: TimedOut})
	}
	state := h.policy.State()
	if state.Requests != 0 || state.AttemptsInFlight != 0 || state.LoadCommands != 0 {
		h.t.Fatalf("after the end of all requests, attempts and load commands the state is %+v, want none of them", state)
	}
}

func TestRulesHoldForRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			h := newRandomHarness(t, seed)
			h.updateEndpoints()
			for range 3000 {
				h.step()
			}
			h.finish()
		})
	}
}
