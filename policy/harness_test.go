package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func config() Config {
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
type bed struct {
	t   *testing.T
	p   *Policy
	now time.Duration
	id  RequestID
}

func newBed(t *testing.T, cfg Config, workers int) *bed {
	t.Helper()
	p, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{t: t, p: p, now: time.Hour}
	var l EndpointUpdate
	l.Kind = FullUpdate
	for i := range workers {
		l.Endpoints = append(l.Endpoints, Endpoint{Worker: WorkerID(i + 1), State: Ready, Weight: 1})
	}
	b.do(l)
	return b
}

func (b *bed) do(ev Event) []Action { return b.p.Handle(b.now, ev, nil) }

func (b *bed) arrive(class int, f FunctionID) (RequestID, []Action) {
	b.id++
	return b.id, b.do(RequestArrived{Request: b.id, Class: class, Function: f, Concurrency: 4, LoadTime: time.Second, TimeLeft: 4 * time.Second})
}

// serve has one request of f arrive and served after took.
func (b *bed) serve(f FunctionID, took time.Duration, note InstanceStatus) WorkerID {
	b.t.Helper()
	id, acts := b.arrive(0, f)
	s, ok := first[SendAttempt](acts)
	if !ok {
		b.t.Fatalf("request not sent: %v", acts)
	}
	b.now += took
	b.do(AttemptEnded{Request: id, Worker: s.Worker, Outcome: Served, InstanceStatus: note, RequestClosed: true, Duration: took})
	return s.Worker
}

func first[A Action](acts []Action) (A, bool) {
	for _, a := range acts {
		if a, ok := a.(A); ok {
			return a, true
		}
	}
	var zero A
	return zero, false
}

func has[A Action](acts []Action) bool { _, ok := first[A](acts); return ok }

func p0(b *bed) *classState { return &b.p.classes[0] }
