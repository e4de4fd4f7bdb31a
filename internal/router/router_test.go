package router

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"functionrouter/policy"
)

const ms = time.Millisecond

// workers is a stand-in that keeps what is out and lets a test end it.
type workers struct {
	core  *Router
	out   map[AttemptID]policy.WorkerID
	runs  map[policy.RequestID][]AttemptID
	holds map[uint64]bool
	asks  map[uint64]bool
}

func (w *workers) StartAttempt(id policy.WorkerID, a AttemptID, r *Request, budget time.Duration) {
	if budget <= 0 || w.core.now+budget > r.Deadline {
		panic(fmt.Sprintf("budget %v at %v, deadline %v", budget, w.core.now, r.Deadline))
	}
	w.out[a] = id
	w.runs[a.Request] = append(w.runs[a.Request], a)
}
func (w *workers) WithdrawQueued(AttemptID) bool                { return false }
func (w *workers) CancelAttempt(_ policy.WorkerID, a AttemptID) { delete(w.out, a) }
func (w *workers) LoadInstance(_ policy.WorkerID, _ policy.FunctionID, _ int, t uint64) {
	w.holds[t] = true
}
func (w *workers) Probe(_ policy.WorkerID, t uint64)                 { w.asks[t] = true }
func (w *workers) AbandonControl(_ policy.WorkerID, t uint64)        { delete(w.holds, t); delete(w.asks, t) }
func (w *workers) UnloadInstance(policy.WorkerID, policy.FunctionID) {}
func (w *workers) CloseIdleConnections(policy.WorkerID)              {}

// asker counts answers.
type asker struct {
	answers []Response
	at      []time.Duration
	core    *Router
}

func (k *asker) Respond(a Response) {
	k.answers, k.at = append(k.answers, a), append(k.at, k.core.now)
}

func newCore(t rapid.TB, seed uint64) (*Router, *workers) {
	p, err := policy.New(policy.Config{RouterCount: 1, Tick: 4 * ms, MaxAttempts: 3, AllowCancel: true, AllowProbes: true, AllowLoadOrders: true,
		MissWhenNotLoaded: true, InstanceStatusInAnswers: true, AllowHedging: true, AllowRetryAfter: true, MaxRetryAfter: time.Second, OverQuotaWeight: 1,
		InstanceKeepAlive: 10 * time.Second, LoadOrderTimeout: 10 * time.Second, LoadOrderWindow: 10 * time.Second, LoadOrderAllowance: 4, LoadOrdersPerRequest: 0.3,
		DrainGrace: time.Second, LoadReportFields: []string{"inflight"}, InlineLoadReports: true,
		Classes: []policy.Class{
			{LatencyObjective: 400 * ms, Deadline: 2 * time.Second, Idempotency: policy.Idempotent, DedupScope: policy.DedupFleet, PriorityWeight: 3},
			{LatencyObjective: 1200 * ms, Deadline: 3 * time.Second, Idempotency: policy.NotIdempotent, DedupScope: policy.DedupFleet, PriorityWeight: 5}}}, seed)
	if err != nil {
		t.Fatal(err)
	}
	c := New(p, Limits{MaxOpenRequests: 50, MaxBodyBytes: 1 << 16, MaxAttempts: 3, LoadOrderTimeout: 10 * time.Second, ProbeTimeout: 250 * ms})
	w := &workers{core: c, out: map[AttemptID]policy.WorkerID{}, runs: map[policy.RequestID][]AttemptID{},
		holds: map[uint64]bool{}, asks: map[uint64]bool{}}
	c.SetWorkerPool(w)
	return c, w
}

// pick draws one key of m in a fixed order, so that a failing run can be run again.
func pick[K comparable, V any](t *rapid.T, m map[K]V) (K, bool) {
	var keys []K
	for k := range m {
		keys = append(keys, k)
	}
	if len(keys) == 0 {
		var none K
		return none, false
	}
	slices.SortFunc(keys, func(a, b K) int { return strings.Compare(fmt.Sprintf("%20v", a), fmt.Sprintf("%20v", b)) })
	return keys[rapid.IntRange(0, len(keys)-1).Draw(t, "which")], true
}

// The model of a request: one final answer, in time, true to what may have run, and nothing sent
// again once an order may have run.
func TestRequestsGetOneTrueAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, w := newCore(t, rapid.Uint64().Draw(t, "seed"))
		now := time.Hour
		states := []policy.WorkerState{policy.Ready, policy.Ready, policy.Draining, policy.Gone}
		list := func() {
			l := policy.EndpointUpdate{Kind: policy.FullUpdate}
			for id := policy.WorkerID(1); id <= 4; id++ {
				l.Endpoints = append(l.Endpoints, policy.Endpoint{Worker: id, State: rapid.SampledFrom(states).Draw(t, "state"), Weight: 1})
			}
			c.UpdateEndpoints(l)
		}
		type model struct {
			asker    *asker
			class    int
			deadline time.Duration
			left     bool
			sends    int  // when that became so
			mayRun   bool // some attempt ended without proof that it never ran
		}
		models, taken := map[policy.RequestID]*model{}, 0
		end := func(a AttemptID, o policy.Outcome) {
			delete(w.out, a)
			if m := models[a.Request]; m != nil && !o.NeverRan() {
				m.mayRun, m.sends = true, len(w.runs[a.Request])
			}
			c.AttemptEnded(a, o, policy.InstanceUnknown, []byte("done"), nil)
			c.AttemptEnded(a, policy.Served, policy.InstanceUnknown, []byte("again"), nil) // a second report changes nothing
		}
		list()
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				m := &model{class: rapid.IntRange(0, 1).Draw(t, "class"), asker: &asker{core: c}}
				m.deadline = now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait"))*ms
				taken++
				id := c.Submit(now, Request{Responder: m.asker, ID: fmt.Sprintf("%016x", taken), Class: m.class, FunctionKey: "00000000000000aa",
					Function: policy.FunctionID(rapid.IntRange(1, 3).Draw(t, "f")), Concurrency: 1, LoadTime: 500 * ms,
					Body: make([]byte, rapid.IntRange(0, 4000).Draw(t, "size")), Deadline: m.deadline})
				if id == 0 { // turned away for want of room
					if len(m.asker.answers) != 1 || m.asker.answers[0].Status != Refused {
						t.Fatal("turned away without a refusal")
					}
					return
				}
				models[id] = m
			},
			"end": func(t *rapid.T) {
				if a, ok := pick(t, w.out); ok {
					end(a, rapid.SampledFrom([]policy.Outcome{policy.Served, policy.Errored, policy.WorkerOverloaded, policy.Unreachable,
						policy.ConnectionReset, policy.NotSent, policy.FunctionNotLoaded}).Draw(t, "outcome"))
				}
			},
			"load": func(t *rapid.T) {
				if tag, ok := pick(t, w.holds); ok {
					delete(w.holds, tag)
					c.LoadOrderEnded(tag, rapid.SampledFrom([]policy.Outcome{policy.Served, policy.WorkerOverloaded, policy.Errored}).Draw(t, "o"), 1)
				}
			},
			"probe": func(t *rapid.T) {
				if tag, ok := pick(t, w.asks); ok {
					delete(w.asks, tag)
					c.ProbeEnded(tag, policy.Served, []float64{1})
				}
			},
			"leave": func(t *rapid.T) {
				if id, ok := pick(t, models); ok && len(models[id].asker.answers) == 0 {
					models[id].left = true
					c.Cancel(now, id)
				}
			},
			"list": func(*rapid.T) { list() },
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms },
			"": func(t *rapid.T) {
				next := c.Process(now)
				if next <= now {
					t.Fatalf("turn at %v wants another at %v", now, next)
				}
				open := 0
				for id, m := range models {
					n := len(m.asker.answers)
					switch {
					case n > 1 || m.left && n > 0:
						t.Fatalf("request %d has %d answers, left %v", id, n, m.left)
					case n == 0 && !m.left && now >= m.deadline:
						t.Fatalf("request %d has no answer at its deadline", id)
					case n == 0 && !m.left:
						open++
					}
					runs := w.runs[id]
					if m.class == 1 && m.mayRun && len(runs) > m.sends {
						t.Fatalf("order %d was sent again though it may have run", id)
					}
					if n == 1 && m.asker.answers[0].Status == Refused && m.class == 1 && (m.mayRun || m.asker.answers[0].MayHaveRun) {
						t.Fatalf("order %d is refused though it may have run", id)
					}
					if n == 1 && m.mayRun && !m.asker.answers[0].MayHaveRun {
						t.Fatalf("request %d: the answer denies a run", id)
					}
				}
				if c.OpenRequests() != open {
					t.Fatalf("%d open, the model has %d", c.OpenRequests(), open)
				}
			},
		})
	})
}

// Guards rule 2: an order whose connection was reset may have run, so it fails and is not resent.
func TestOrderThatMayHaveRunFails(t *testing.T) {
	for _, o := range []policy.Outcome{policy.ConnectionReset, policy.Errored, policy.TimedOut} {
		c, w := newCore(t, 1)
		c.UpdateEndpoints(policy.EndpointUpdate{Kind: policy.FullUpdate, Endpoints: []policy.Endpoint{{Worker: 1, State: policy.Ready},
			{Worker: 2, State: policy.Ready}}})
		k := &asker{core: c}
		id := c.Submit(time.Hour, Request{Responder: k, Class: 1, Function: 7, Deadline: time.Hour + 3*time.Second})
		c.Process(time.Hour)
		if len(w.runs[id]) != 1 {
			t.Fatal("the order was not sent")
		}
		c.AttemptEnded(w.runs[id][0], o, policy.InstanceUnknown, nil, nil)
		c.Process(time.Hour + ms)
		if len(w.runs[id]) != 1 || len(k.answers) != 1 || k.answers[0].Status != Failed {
			t.Errorf("outcome %d: %d sends, answers %+v", o, len(w.runs[id]), k.answers)
		}
	}
}

// Guards the time-outs: probes and orders that nobody answers end, and what comes later is ignored.
func TestUnansweredQuestionsTimeOut(t *testing.T) {
	c, w := newCore(t, 1)
	c.carryOut(policy.ProbeWorker{Worker: 1})
	c.carryOut(policy.LoadInstance{Worker: 1, Function: 2, Instances: 1})
	c.Process(time.Hour)
	c.LoadOrderEnded(2, policy.Served, 1)
	c.ProbeEnded(1, policy.Served, nil)
	if c.Counters.ProbeOutcomes[policy.TimedOut] != 1 || c.Counters.LoadOrderOutcomes[policy.TimedOut] != 1 ||
		c.Counters.LoadOrderOutcomes[policy.Served]+c.Counters.ProbeOutcomes[policy.Served] != 0 || len(w.holds)+len(w.asks) != 0 {
		t.Errorf("counters %+v", c.Counters)
	}
}

// Guards against an answer that comes in the turn in which the client left: it is owed to nobody.
func TestAnswerBehindALeaveGoesNowhere(t *testing.T) {
	c, w := newCore(t, 1)
	c.UpdateEndpoints(policy.EndpointUpdate{Kind: policy.FullUpdate, Endpoints: []policy.Endpoint{{Worker: 1, State: policy.Ready}}})
	k := &asker{core: c}
	id := c.Submit(time.Hour, Request{Responder: k, Class: 0, Function: 7, Deadline: time.Hour + 2*time.Second})
	c.Process(time.Hour)
	c.Cancel(time.Hour+ms, id)
	c.AttemptEnded(w.runs[id][0], policy.Served, policy.InstanceWarm, nil, nil)
	c.Process(time.Hour + ms)
	if len(k.answers) != 0 || c.Counters.ClientCancelled[Thrift] != 1 || c.Counters.Served[Thrift] != 0 || len(c.reqs) != 0 {
		t.Errorf("answers %v, counters %+v, %d requests kept", k.answers, c.Counters, len(c.reqs))
	}
}

// Guards the client's wait: a request that the module has not ended by its deadline is ended by the
// core, as a refusal only where nothing was sent.
func TestGuardEndsWhatTheModuleDidNot(t *testing.T) {
	for sent, want := range []Status{Refused, Failed} {
		c, w := newCore(t, 1)
		k := &asker{core: c}
		if sent == 1 {
			c.UpdateEndpoints(policy.EndpointUpdate{Kind: policy.FullUpdate, Endpoints: []policy.Endpoint{{Worker: 1, State: policy.Ready}}})
		}
		id := c.Submit(time.Hour, Request{Responder: k, Class: 1, Function: 7, Deadline: time.Hour + 3*time.Second})
		c.Process(time.Hour)
		guard := c.timers[len(c.timers)-1]
		for _, t := range c.timers {
			if t.kind == timeUp {
				guard = t
			}
		}
		if len(w.runs[id]) != sent || guard.kind != timeUp || guard.due != time.Hour+3*time.Second {
			t.Fatalf("%d sends, guard %+v", len(w.runs[id]), guard)
		}
		c.now = guard.due
		c.fire(guard)
		c.Process(c.now)
		if len(k.answers) != 1 || k.answers[0].Status != want || !k.answers[0].DeadlineExceeded || c.Counters.Overdue != 1 || len(w.out) != 0 {
			t.Errorf("answers %+v, want verdict %d", k.answers, want)
		}
	}
}

// Guards the planned stop: clients that go on sending get a refusal each, and don't hold it up.
func TestDrainingCoreRefusesWhatComes(t *testing.T) {
	c, w := newCore(t, 1)
	c.UpdateEndpoints(policy.EndpointUpdate{Kind: policy.FullUpdate, Endpoints: []policy.Endpoint{{Worker: 1, State: policy.Ready}}})
	c.Draining = true
	k := &asker{core: c}
	c.Submit(time.Hour, Request{Responder: k, Class: 1, Function: 7, Deadline: time.Hour + 3*time.Second})
	c.Process(time.Hour)
	if len(k.answers) != 1 || k.answers[0].Status != Refused || k.answers[0].MayHaveRun || c.OpenRequests() != 0 || len(w.out) != 0 {
		t.Errorf("answers %+v, %d open", k.answers, c.OpenRequests())
	}
}

// Guards against two open requests under one id, by whatever fronts and connections they come: the later
// one fails and reaches no worker, and the id is free again once the first has ended.
func TestIDOfAnOpenRequestIsNotTakenTwice(t *testing.T) {
	c, w := newCore(t, 1)
	c.UpdateEndpoints(policy.EndpointUpdate{Kind: policy.FullUpdate, Endpoints: []policy.Endpoint{{Worker: 1, State: policy.Ready}}})
	take := func(f Frontend, body string) (policy.RequestID, *asker) {
		k := &asker{core: c}
		return c.Submit(time.Hour, Request{Frontend: f, Responder: k, ID: "00000000000000aa", Function: 7, Body: []byte(body),
			Deadline: time.Hour + 2*time.Second}), k
	}
	first, k := take(Thrift, "one")
	c.Process(time.Hour)
	for _, f := range []Frontend{Thrift, Webhook} {
		id, other := take(f, "other")
		if c.Process(time.Hour); id != 0 || len(other.answers) != 1 || other.answers[0].Status != Failed || c.OpenRequests() != 1 {
			t.Fatalf("request %d has answers %+v, %d open", id, other.answers, c.OpenRequests())
		}
	}
	c.AttemptEnded(w.runs[first][0], policy.Served, policy.InstanceWarm, []byte("done"), nil)
	c.Process(time.Hour + ms)
	if len(k.answers) != 1 || string(k.answers[0].Body) != "done" || len(w.runs) != 1 || len(c.ids)+len(c.reqs) != 0 {
		t.Fatalf("answers %+v, %d requests sent, %d ids kept", k.answers, len(w.runs), len(c.ids))
	}
	if id, _ := take(Thrift, "again"); id == 0 {
		t.Error("the id of a request that has ended is still taken")
	}
}

func TestParseKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Uint64().Draw(t, "n")
		if got, ok := ParseHexID(fmt.Sprintf("%016x", n)); !ok || got != n {
			t.Fatalf("read %x, %v", got, ok)
		}
		text := rapid.StringN(0, 20, 20).Draw(t, "text")
		if got, ok := ParseHexID(text); ok && fmt.Sprintf("%016x", got) != text {
			t.Fatalf("read %q as %x", text, got)
		}
	})
}

// Guards tenants' shares: the module hears whose call it is. A tenant without a share has one call let through
// that will be late, and the next ones refused, while those of another tenant and of none go on.
func TestModuleHearsOfTheTenant(t *testing.T) {
	for tenant, want := range map[int]int{0: 1, 1: 5, UnknownTenant: 5} {
		p, err := policy.New(policy.Config{RouterCount: 1, Tick: 4 * ms, OverQuotaWeight: 0.1, Tenants: []policy.Tenant{{}, {QuotaPerSecond: 1000}},
			Classes: []policy.Class{{LatencyObjective: 400 * ms, Deadline: 9 * time.Second, PriorityWeight: 1}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		c := New(p, Limits{MaxOpenRequests: 50, MaxBodyBytes: 1 << 16})
		w := &workers{core: c, out: map[AttemptID]policy.WorkerID{}, runs: map[policy.RequestID][]AttemptID{}}
		c.SetWorkerPool(w)
		c.UpdateEndpoints(policy.EndpointUpdate{Kind: policy.FullUpdate, Endpoints: []policy.Endpoint{{Worker: 1, State: policy.Ready}}})
		for n := range 5 {
			c.Submit(time.Hour, Request{Responder: &asker{core: c}, ID: fmt.Sprint(n), Tenant: tenant, Function: policy.FunctionID(n),
				LoadTime: time.Second, Deadline: time.Hour + 9*time.Second})
		}
		if c.Process(time.Hour); len(w.out) != want {
			t.Errorf("tenant %d: %d calls of 5 were sent, want %d", tenant, len(w.out), want)
		}
	}
}
