package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// checker follows the actions of a random world and reports broken rules. It shares no code with the module.
type ruleChecker struct {
	t            *testing.T
	cfg          Config
	requests     map[RequestID]*observedRequest
	workerStates map[WorkerID]WorkerState
	loadOrders   []time.Duration
	arrivals     []time.Duration
}

type observedRequest struct {
	class        int
	deadline     time.Duration
	workers      []WorkerID
	open         map[int]bool
	mayHaveRunAt time.Duration // when the first attempt that may have run was sent
	mayHaveRun   bool
	sentAt       []time.Duration
	answered     bool
}

func (c *ruleChecker) check(now time.Duration, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case SendAttempt:
			r := c.requests[a.Request]
			class := c.cfg.Classes[r.class]
			risky := r.mayHaveRun || len(r.open) > 0
			switch {
			case r.answered:
				c.t.Fatalf("%v: send after the final answer of %d", now, a.Request)
			case c.workerStates[a.Worker] != Ready:
				c.t.Fatalf("%v: send to worker %d in state %d", now, a.Worker, c.workerStates[a.Worker])
			case risky && class.Idempotency == NotIdempotent, len(r.open) > 0 && !c.cfg.AllowHedging:
				c.t.Fatalf("%v: repeat of %d", now, a.Request)
			case r.mayHaveRun && class.Idempotency == IdempotentWithKey && now > r.mayHaveRunAt+class.DedupWindow:
				c.t.Fatalf("%v: keyed repeat outside the window", now)
			case len(r.workers) >= c.cfg.MaxAttempts:
				c.t.Fatalf("%v: too many attempts", now)
			}
			r.open[len(r.workers)] = true
			r.workers, r.sentAt = append(r.workers, a.Worker), append(r.sentAt, now)
		case RefuseRequest:
			r := c.requests[a.Request]
			if class := c.cfg.Classes[r.class]; (r.mayHaveRun || len(r.open) > 0) && (class.Idempotency == NotIdempotent ||
				class.Idempotency == IdempotentWithKey && class.DedupScope != DedupFleet) {
				c.t.Fatalf("%v: refusal of %d, which may have run", now, a.Request)
			}
			c.checkFinalAnswer(now, r)
		case FailRequest:
			c.checkFinalAnswer(now, c.requests[a.Request])
		case LoadInstance:
			if c.workerStates[a.Worker] != Ready {
				c.t.Fatalf("%v: order to worker %d in state %d", now, a.Worker, c.workerStates[a.Worker])
			}
			c.loadOrders = append(c.loadOrders, now)
			n, m := 0, 0
			for _, at := range c.loadOrders {
				if at >= now-c.cfg.LoadOrderWindow {
					n++
				}
			}
			for _, at := range c.arrivals {
				if at > now-c.cfg.LoadOrderWindow {
					m++
				}
			}
			if float64(n) > c.cfg.LoadOrderAllowance+c.cfg.LoadOrdersPerRequest*float64(m) {
				c.t.Fatalf("%v: %d orders with %d calls", now, n, m)
			}
		}
	}
}

func (c *ruleChecker) checkFinalAnswer(now time.Duration, r *observedRequest) {
	if r.answered || now > r.deadline+8*ms {
		c.t.Fatalf("%v: second or late final answer", now)
	}
	r.answered = true
}

func TestRulesHoldInRandomWorlds(t *testing.T) {
	for seed := range uint64(60) {
		randomWorld(t, seed, 3000)
	}
}

// randomWorld plays legal but hostile events, in which workers drain, vanish, restart and answer anything.
func randomWorld(t *testing.T, seed uint64, steps int) {
	rng := rand.New(rand.NewPCG(seed, 9))
	cfg := testConfig()
	cfg.MissWhenNotLoaded, cfg.AllowLoadOrders = seed%2 == 0, seed%3 != 0
	cfg.AllowHedging, cfg.AllowGossip = seed%5 == 0, seed%4 == 0
	cfg.LoadOrderWindow, cfg.LoadOrderAllowance, cfg.LoadOrdersPerRequest = 10*time.Second, 3, 0.2
	p, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	c := &ruleChecker{t: t, cfg: cfg, requests: map[RequestID]*observedRequest{}, workerStates: map[WorkerID]WorkerState{}}
	now, next := time.Hour, RequestID(0)
	type timer struct {
		at    time.Duration
		token uint64
	}
	var timers []timer
	var loads []LoadInstance
	handle := func(ev Event) {
		acts := p.Handle(now, ev, nil)
		c.check(now, acts)
		for _, a := range acts {
			switch a := a.(type) {
			case SetTimer:
				timers = append(timers, timer{now + a.After, a.Token})
			case LoadInstance:
				loads = append(loads, a)
			}
		}
	}
	list := func() {
		l := EndpointUpdate{Kind: FullUpdate}
		for w := WorkerID(1); w <= 6; w++ {
			e := Endpoint{Worker: w, State: WorkerState(1 + rng.IntN(5)/4), Zone: int(w) % 2}
			if rng.IntN(4) == 0 {
				e.StartedAt = now - time.Duration(rng.IntN(9000))*ms
			}
			if rng.IntN(6) == 0 {
				e.State = Gone
			}
			c.workerStates[w] = e.State
			l.Endpoints = append(l.Endpoints, e)
		}
		handle(l)
	}
	list()
	for range steps {
		now += time.Duration(rng.IntN(9)) * ms
		for i := 0; i < len(timers); i++ {
			if tm := timers[i]; tm.at <= now {
				timers = append(timers[:i], timers[i+1:]...)
				i--
				handle(TimerFired{Token: tm.token})
			}
		}
		switch k := rng.IntN(20); {
		case k == 0 && rng.IntN(5) == 0:
			list()
		case k < 8:
			next++
			left := time.Duration(rng.IntN(3000)) * ms
			c.arrivals = append(c.arrivals, now)
			c.requests[next] = &observedRequest{class: rng.IntN(3), deadline: now + left, open: map[int]bool{}}
			handle(RequestArrived{Request: next, Class: c.requests[next].class, Function: FunctionID(rng.IntN(12)), Concurrency: 2,
				LoadTime: 800 * ms, TimeLeft: left})
		case k == 9 && next > 0:
			if r := c.requests[1+RequestID(rng.IntN(int(next)))]; !r.answered {
				r.answered = true
				for id, o := range c.requests {
					if o == r {
						handle(ClientCancelled{Request: id})
					}
				}
			}
		case k == 10 && len(loads) > 0:
			o := loads[0]
			loads = loads[1:]
			handle(LoadOrderEnded{Worker: o.Worker, Function: o.Function, Outcome: Outcome(rng.IntN(6)), Duration: 900 * ms, Instances: rng.IntN(2)})
		case k == 11:
			handle(ProbeEnded{Worker: WorkerID(rng.IntN(8)), Outcome: Outcome(rng.IntN(6))})
		default:
			id := RequestID(0)
			for try := range int(next) {
				if r := c.requests[next-RequestID(try)]; len(r.open) > 0 && rng.IntN(3) == 0 {
					id = next - RequestID(try)
					break
				}
			}
			if id == 0 {
				continue
			}
			r := c.requests[id]
			for n := range len(r.workers) {
				if !r.open[n] {
					continue
				}
				o := []Outcome{Served, Served, Errored, WorkerOverloaded, TimedOut, Unreachable, ConnectionReset, Cancelled, NotSent, FunctionNotLoaded}[rng.IntN(10)]
				delete(r.open, n)
				if !o.NeverRan() && !r.mayHaveRun {
					r.mayHaveRun, r.mayHaveRunAt = true, r.sentAt[n]
				}
				closed := r.answered || o == Served
				r.answered = closed
				handle(AttemptEnded{Request: id, Attempt: n, Worker: r.workers[n], Outcome: o, RequestClosed: closed, Duration: now - r.sentAt[n]})
				break
			}
		}
	}
	now += 5 * time.Second // everything that is owed is answered by then
	for _, tm := range timers {
		now = max(now, tm.at)
	}
	for _, r := range c.requests {
		r.deadline = now
	}
	for _, tm := range timers {
		handle(TimerFired{Token: tm.token})
	}
	for id, r := range c.requests {
		if !r.answered {
			t.Fatalf("seed %d: request %d got no final answer", seed, id)
		}
	}
	if len(p.waiting) > len(c.requests) {
		t.Fatalf("seed %d: books grow: %d held", seed, len(p.waiting))
	}
}
