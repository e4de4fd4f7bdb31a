package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// The classes of testConfig.
const (
	classIdempotent = iota
	classKeyed      // idempotent with a key that the workers of a zone remember for a second
	classNotIdempotent
)

func testConfig() Config {
	return Config{
		RouterCount: 1, Tick: 2 * ms, MaxAttempts: 5, AllowCancel: true, AllowHealthChecks: true, OverQuotaWeight: 1,
		SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second,
		OverloadMultiple: 2, OverloadWindow: 3 * time.Second, DrainGrace: 500 * ms,
		InstanceKeepAlive: 10 * time.Second, InstanceStatusInAnswers: true, LoadCommandAllowance: 1,
		Classes: []Class{
			classIdempotent: {
				LatencyObjective: 400 * ms, Deadline: 4 * time.Second, Idempotency: Idempotent,
				PriorityWeight: 1, LateWeight: 0.2,
			},
			classKeyed: {
				LatencyObjective: 400 * ms, Deadline: 4 * time.Second, Idempotency: IdempotentWithKey,
				DedupScope: DedupZone, DedupWindow: time.Second, PriorityWeight: 1,
			},
			classNotIdempotent: {
				LatencyObjective: 400 * ms, Deadline: 4 * time.Second, Idempotency: NotIdempotent,
				PriorityWeight: 5, LateWeight: 0.2,
			},
		},
	}
}

// harness passes events to a Policy in place of a router. The test sets the time of each event in now.
type harness struct {
	t           *testing.T
	policy      *Policy
	now         time.Duration
	lastRequest RequestID
}

// newHarness returns a harness whose endpoint list holds the given number of ready workers, with ids from 1.
func newHarness(t *testing.T, cfg Config, workers int) *harness {
	t.Helper()
	p, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, policy: p, now: time.Hour}
	update := EndpointUpdate{Kind: FullUpdate}
	for i := range workers {
		update.Endpoints = append(update.Endpoints, Endpoint{Worker: WorkerID(i + 1), State: Ready, Weight: 1})
	}
	h.handle(update)
	return h
}

func (h *harness) handle(event Event) []Action { return h.policy.Handle(h.now, event, nil) }

// housekeep fires the housekeeping timer.
func (h *harness) housekeep() []Action { return h.handle(TimerFired{Token: housekeepingToken}) }

// arrive passes the policy a new request of a class for a function. It returns the request's id and the actions.
func (h *harness) arrive(class int, f FunctionID) (RequestID, []Action) {
	h.lastRequest++
	return h.lastRequest, h.handle(RequestArrived{
		Request: h.lastRequest, Class: class, Function: f, Concurrency: 4,
		LoadTime: time.Second, TimeLeft: 4 * time.Second,
	})
}

// arriveAndSend passes the policy a new request and returns the request's id and the worker to which the policy sends
// it. It fails the test if the policy does not send the request at once.
func (h *harness) arriveAndSend(class int, f FunctionID) (RequestID, WorkerID) {
	h.t.Helper()
	id, actions := h.arrive(class, f)
	return id, h.sentTo(actions)
}

// sentTo returns the worker of the first attempt among the actions. It fails the test if there is no attempt.
func (h *harness) sentTo(actions []Action) WorkerID {
	h.t.Helper()
	send, ok := firstAction[SendAttempt](actions)
	if !ok {
		h.t.Fatalf("the policy sent no attempt, want one; actions: %v", actions)
	}
	return send.Worker
}

// answer ends a request's first attempt as served, after the given duration.
func (h *harness) answer(id RequestID, w WorkerID, status InstanceStatus, duration time.Duration) {
	h.handle(AttemptEnded{
		Request: id, Worker: w, Outcome: Served, InstanceStatus: status, RequestClosed: true,
		Duration: duration,
	})
}

// fail ends an attempt with an outcome other than Served, and returns the policy's actions.
func (h *harness) fail(id RequestID, attempt int, w WorkerID, outcome Outcome) []Action {
	return h.handle(AttemptEnded{Request: id, Attempt: attempt, Worker: w, Outcome: outcome})
}

// serve passes the policy a request of classIdempotent and, after the given duration, the answer to it. It returns the
// worker to which the policy sent the request.
func (h *harness) serve(f FunctionID, duration time.Duration, status InstanceStatus) WorkerID {
	h.t.Helper()
	id, w := h.arriveAndSend(classIdempotent, f)
	h.now += duration
	h.answer(id, w, status, duration)
	return w
}

// firstAction returns the first action of type A.
func firstAction[A Action](actions []Action) (A, bool) {
	for _, a := range actions {
		if a, ok := a.(A); ok {
			return a, true
		}
	}
	var zero A
	return zero, false
}

// hasAction reports whether there is an action of type A.
func hasAction[A Action](actions []Action) bool {
	_, ok := firstAction[A](actions)
	return ok
}

// setEndpoints replaces the endpoint list.
func (h *harness) setEndpoints(endpoints ...Endpoint) {
	h.handle(EndpointUpdate{Kind: FullUpdate, Endpoints: endpoints})
}

// hasFinalAnswer reports whether one of the actions is a final answer.
func hasFinalAnswer(actions []Action) bool {
	return hasAction[RefuseRequest](actions) || hasAction[FailRequest](actions)
}
