package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func testConfig() Config {
	return Config{RouterCount: 1, Tick: 2 * ms, MaxAttempts: 5, AllowCancel: true, AllowProbes: true, OverQuotaWeight: 1,
		SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 2, OverloadWindow: 3 * time.Second,
		DrainGrace: 500 * ms, InstanceKeepAlive: 10 * time.Second, InstanceStatusInAnswers: true, LoadOrderAllowance: 1,
		Classes: []Class{
			{LatencyObjective: 400 * ms, Deadline: 4 * time.Second, Idempotency: Idempotent, PriorityWeight: 1, LateWeight: 0.2},
			{LatencyObjective: 400 * ms, Deadline: 4 * time.Second, Idempotency: IdempotentWithKey, DedupScope: DedupZone, DedupWindow: time.Second, PriorityWeight: 1},
			{LatencyObjective: 400 * ms, Deadline: 4 * time.Second, Idempotency: NotIdempotent, PriorityWeight: 5, LateWeight: 0.2},
		}}
}

// bed drives a Policy by hand.
type harness struct {
	t           *testing.T
	policy      *Policy
	now         time.Duration
	lastRequest RequestID
}

func newHarness(t *testing.T, cfg Config, workers int) *harness {
	t.Helper()
	p, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, policy: p, now: time.Hour}
	var l EndpointUpdate
	l.Kind = FullUpdate
	for i := range workers {
		l.Endpoints = append(l.Endpoints, Endpoint{Worker: WorkerID(i + 1), State: Ready, Weight: 1})
	}
	b.handle(l)
	return b
}

func (b *harness) handle(ev Event) []Action { return b.policy.Handle(b.now, ev, nil) }

func (b *harness) arrive(class int, f FunctionID) (RequestID, []Action) {
	b.lastRequest++
	return b.lastRequest, b.handle(RequestArrived{Request: b.lastRequest, Class: class, Function: f, Concurrency: 4, LoadTime: time.Second, TimeLeft: 4 * time.Second})
}

// serve has one request of f arrive and served after took.
func (b *harness) serveRequest(f FunctionID, took time.Duration, note InstanceStatus) WorkerID {
	b.t.Helper()
	id, acts := b.arrive(0, f)
	s, ok := firstAction[SendAttempt](acts)
	if !ok {
		b.t.Fatalf("request not sent: %v", acts)
	}
	b.now += took
	b.handle(AttemptEnded{Request: id, Worker: s.Worker, Outcome: Served, InstanceStatus: note, RequestClosed: true, Duration: took})
	return s.Worker
}

func firstAction[A Action](acts []Action) (A, bool) {
	for _, a := range acts {
		if a, ok := a.(A); ok {
			return a, true
		}
	}
	var zero A
	return zero, false
}

func hasAction[A Action](acts []Action) bool { _, ok := firstAction[A](acts); return ok }

func firstClass(b *harness) *class { return &b.policy.classes[0] }
