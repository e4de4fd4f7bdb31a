package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"functionrouter/policy"
)

const (
	ms = time.Millisecond
	// testStart is the router's time at the start of each test.
	testStart = time.Hour

	idempotentClass    = 0
	notIdempotentClass = 1
)

var testClasses = []policy.Class{
	idempotentClass: {
		LatencyObjective: 400 * ms, Deadline: 2 * time.Second, Idempotency: policy.Idempotent,
		DedupScope: policy.DedupFleet, PriorityWeight: 3,
	},
	notIdempotentClass: {
		LatencyObjective: 1200 * ms, Deadline: 3 * time.Second, Idempotency: policy.NotIdempotent,
		DedupScope: policy.DedupFleet, PriorityWeight: 5,
	},
}

// fakeWorkerPool records attempts, load commands and health checks instead of sending them. The test reports to the
// router how they end.
type fakeWorkerPool struct {
	router       *Router
	openAttempts map[AttemptID]policy.WorkerID
	unsent       map[AttemptID]bool // attempts of which no byte has been sent, as set by the test
	deferSends   bool               // attempts are unsent until SendAttempt
	waiting      []AttemptID        // attempts that SendableAttempts returns
	onSend       func(id AttemptID) // called by SendAttempt
	sent         map[policy.RequestID][]AttemptID
	loadCommands map[ControlID]bool
	healthChecks map[ControlID]bool
}

func newFakeWorkerPool(r *Router) *fakeWorkerPool {
	return &fakeWorkerPool{
		router:       r,
		openAttempts: map[AttemptID]policy.WorkerID{},
		unsent:       map[AttemptID]bool{},
		onSend:       func(AttemptID) {},
		sent:         map[policy.RequestID][]AttemptID{},
		loadCommands: map[ControlID]bool{},
		healthChecks: map[ControlID]bool{},
	}
}

// StartAttempt panics if the budget is not positive or extends beyond the request's deadline.
func (w *fakeWorkerPool) StartAttempt(worker policy.WorkerID, id AttemptID, req *Request, budget time.Duration) {
	if budget <= 0 || w.router.now+budget > req.Deadline {
		panic(fmt.Sprintf("budget %v at time %v is not positive or extends beyond the deadline %v", budget, w.router.now, req.Deadline))
	}
	w.openAttempts[id] = worker
	if w.deferSends {
		w.unsent[id] = true
		w.waiting = append(w.waiting, id)
		return
	}
	w.sent[id.Request] = append(w.sent[id.Request], id)
}

func (w *fakeWorkerPool) SendableAttempts(ids []AttemptID) []AttemptID {
	w.waiting = slices.DeleteFunc(w.waiting, func(id AttemptID) bool { return !w.unsent[id] })
	return append(ids, w.waiting...)
}

func (w *fakeWorkerPool) SendAttempt(id AttemptID) {
	w.onSend(id)
	delete(w.unsent, id)
	w.sent[id.Request] = append(w.sent[id.Request], id)
}

func (w *fakeWorkerPool) CancelUnsent(id AttemptID) bool {
	if !w.unsent[id] {
		return false
	}
	delete(w.unsent, id)
	delete(w.openAttempts, id)
	return true
}

func (w *fakeWorkerPool) CancelAttempt(_ policy.WorkerID, id AttemptID) {
	delete(w.unsent, id)
	delete(w.openAttempts, id)
}

func (w *fakeWorkerPool) LoadInstance(_ policy.WorkerID, _ policy.FunctionID, _ int, id ControlID) {
	w.loadCommands[id] = true
}

func (w *fakeWorkerPool) CheckHealth(_ policy.WorkerID, id ControlID) {
	w.healthChecks[id] = true
}

func (w *fakeWorkerPool) CancelControl(_ policy.WorkerID, id ControlID) {
	delete(w.loadCommands, id)
	delete(w.healthChecks, id)
}

func (w *fakeWorkerPool) UnloadInstance(policy.WorkerID, policy.FunctionID) {}
func (w *fakeWorkerPool) CloseIdleConnections(policy.WorkerID)              {}

// recordingResponder records the answers of a request.
type recordingResponder struct{ responses []Response }

func (r *recordingResponder) Respond(resp Response) { r.responses = append(r.responses, resp) }

// singleResponse returns the only answer. It fails the test at once if there is no answer or more than one.
func (r *recordingResponder) singleResponse(tb testing.TB) Response {
	tb.Helper()
	if len(r.responses) != 1 {
		tb.Fatalf("the request got %d answers, want 1: %+v", len(r.responses), r.responses)
	}
	return r.responses[0]
}

// newTestRouter returns a router with both test classes. The settings of its policy allow cancellation, health checks,
// load commands, hedging and Retry-After, and its workers report their load and the status of instances.
func newTestRouter(t interface{ Fatal(...any) }, seed uint64) (*Router, *fakeWorkerPool) {
	p, err := policy.New(policy.Config{
		RouterCount:             1,
		Tick:                    4 * ms,
		MaxAttempts:             3,
		AllowCancel:             true,
		AllowHealthChecks:       true,
		AllowLoadCommands:       true,
		MissWhenNotLoaded:       true,
		InstanceStatusInAnswers: true,
		AllowHedging:            true,
		AllowRetryAfter:         true,
		MaxRetryAfter:           time.Second,
		OverQuotaWeight:         1,
		InstanceKeepAlive:       10 * time.Second,
		LoadCommandTimeout:      10 * time.Second,
		LoadCommandWindow:       10 * time.Second,
		LoadCommandAllowance:    4,
		LoadCommandsPerRequest:  0.3,
		DrainGrace:              time.Second,
		LoadReportFields:        []string{"inflight"},
		InlineLoadReports:       true,
		Classes:                 testClasses,
	}, seed)
	if err != nil {
		t.Fatal(err)
	}
	return newRouterWithFakePool(p, Limits{
		MaxOpenRequests:    50,
		MaxBodyBytes:       1 << 16,
		MaxAttempts:        3,
		RetryAfter:         100 * ms,
		LoadCommandTimeout: 10 * time.Second,
		HealthCheckTimeout: 250 * ms,
	})
}

// newRouterWithFakePool returns a router with a fakeWorkerPool.
func newRouterWithFakePool(p *policy.Policy, limits Limits) (*Router, *fakeWorkerPool) {
	var workers *fakeWorkerPool
	r := New(Config{Policy: p, Limits: limits, NewWorkerPool: func(r *Router) WorkerPool {
		workers = newFakeWorkerPool(r)
		return workers
	}})
	return r, workers
}

// addReadyWorkers gives the router an endpoint list of count ready workers with the ids 1 to count.
func addReadyWorkers(r *Router, count int) {
	update := policy.EndpointUpdate{Kind: policy.FullUpdate}
	for n := range count {
		update.Endpoints = append(update.Endpoints, policy.Endpoint{Worker: policy.WorkerID(n + 1), State: policy.Ready})
	}
	r.UpdateEndpoints(update)
}

// submit submits a request of the given class, without an ID, at testStart. The request has the deadline of its class.
func submit(r *Router, class int) (policy.RequestID, *recordingResponder) {
	responder := &recordingResponder{}
	id := r.Submit(testStart, Request{
		Responder: responder, Class: class, Function: 7,
		Deadline: testStart + testClasses[class].Deadline,
	})
	return id, responder
}
