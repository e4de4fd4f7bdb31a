// Package router is the request table of the function router. It knows neither a wire format nor a clock:
// frontends submit requests, a WorkerPool carries messages to workers, and the caller passes in the time.
//
// Every decision is made by policy.Policy. The Router gathers what happens as events for the policy, executes the
// actions that the policy returns, keeps attempts, control calls, timers and counters, and gives each request exactly
// one final answer: when a worker served it, when the policy refused or failed it, or at its deadline at the latest.
// A request whose client cancelled it gets none.
//
// Times are durations since a fixed start that the event loop chooses; they never run backwards.
package router

//go:generate go tool -modfile=../../tools/go.mod stringer -linecomment -output=enum_string.go -type=CancelCause,Frontend,RequestOutcome,Status,controlKind,timerKind

import (
	"time"

	"functionrouter/policy"
)

// maxProcessInterval bounds the time between two calls of Process when no timer is set.
const maxProcessInterval = time.Hour

// Limits bounds what a Router holds and how long it waits.
type Limits struct {
	MaxOpenRequests int // open requests at any time
	MaxBodyBytes    int // bytes of the bodies of all open requests
	// RetryAfter is the advice in the answers that the Router gives without the policy: to a request that is refused at
	// once, that enforceDeadline ends, or whose client ended its side of the connection (Disconnect). 0: none.
	RetryAfter         time.Duration
	MaxAttempts        int           // attempts of one request; 0: no limit
	LoadCommandTimeout time.Duration // after which an unanswered load command ends as policy.TimedOut
	HealthCheckTimeout time.Duration // after which an unanswered health check ends as policy.TimedOut
}

// Config is what a Router is built from.
type Config struct {
	// Policy takes every decision. The Router alone may use it from then on.
	Policy *policy.Policy
	Limits Limits
	// NewWorkerPool returns the pool that carries messages to workers and reports their results to the Router. New calls
	// it while the Router has no pool: it may keep the Router, and must not call it.
	NewWorkerPool func(*Router) WorkerPool
	// OnRequestEnd, where set, is called once for each request, when it has ended. It is called on the event loop's
	// goroutine, during the method of the Router that ends the request: before Responder.Respond if the request is
	// answered at once by Submit or RefuseAtOnce, after it if the request was open. A request that Cancel ends gets no Respond.
	// OnRequestEnd must not keep req, whose Body and Responder are dropped afterwards.
	OnRequestEnd func(now time.Duration, req *Request, outcome RequestOutcome)
}

// Router ties requests to the decisions of a policy. It is not safe for concurrent use: the event loop's goroutine
// owns it.
type Router struct {
	policy   *policy.Policy
	workers  WorkerPool
	limits   Limits
	now      time.Duration
	events   eventQueue
	actions  []policy.Action // of the last step; the slice is reused
	timers   timerQueue
	requests requestTable
	controls controlTable
	// noResultLog logs requests that ended without a result.
	noResultLog noResultLog
	// latestDeadline bounds the deadlines of all requests; 0: no bound. See BeginShutdown.
	latestDeadline   time.Duration
	admissionStopped bool // see StopAdmitting

	onRequestEnd func(now time.Duration, req *Request, outcome RequestOutcome)

	// Counters may be read between two calls of Router's methods.
	Counters Counters
}

// New returns a Router without endpoints.
func New(cfg Config) *Router {
	r := &Router{
		policy:       cfg.Policy,
		limits:       cfg.Limits,
		requests:     newRequestTable(),
		controls:     newControlTable(),
		noResultLog:  newNoResultLog(),
		onRequestEnd: cfg.OnRequestEnd,
	}
	r.workers = cfg.NewWorkerPool(r)
	return r
}

// SetNow advances the clock. The event loop calls it before it delivers what happened since the last call: AttemptEnded,
// LoadCommandEnded and HealthCheckEnded use this time. What they and Submit report reaches the policy at the next Process,
// or in the present one if they are called during it.
func (r *Router) SetNow(now time.Duration) { r.now = max(r.now, now) }

// OpenRequests returns the number of requests that are still owed an answer.
func (r *Router) OpenRequests() int { return r.requests.open }

// UpdateEndpoints queues an update of the endpoint list for the policy.
func (r *Router) UpdateEndpoints(update policy.EndpointUpdate) { r.events.add(update) }

// Process fires the timers that are due, gives the policy all events gathered since the last call and executes
// its actions, until nothing is left to do. It returns the time at which it must be called again at the latest.
func (r *Router) Process(now time.Duration) (next time.Duration) {
	r.SetNow(now)
	for {
		r.fireDueTimers()
		if r.events.empty() {
			break
		}
		r.actions = r.actions[:0]
		r.events.drain(func(event policy.Event) {
			r.actions = r.policy.Handle(r.now, event, r.actions)
		})
		for _, action := range r.actions {
			r.execute(action)
		}
	}
	if due, ok := r.timers.nextDue(); ok {
		return due
	}
	return now + maxProcessInterval
}

// execute carries out an action of the policy.
//
// policy.Subscribe, policy.FetchEndpoints, policy.SendGossip and policy.LogLine have no effect: in this deployment
// the endpoint list arrives without a subscription, the settings allow no gossip, and nobody reads the log lines.
func (r *Router) execute(action policy.Action) {
	switch a := action.(type) {
	case policy.SendAttempt:
		r.startAttempt(a)
	case policy.CancelAttempt:
		r.cancelAttempt(AttemptID{Request: a.Request, Number: a.Attempt}, policy.Cancelled)
	case policy.RefuseRequest:
		r.endUnserved(a.Request, a.Reason, Response{Status: Refused, RetryAfter: a.RetryAfter})
	case policy.FailRequest:
		r.endUnserved(a.Request, a.Reason, Response{Status: Failed})
	case policy.LoadInstance:
		r.sendLoadCommand(a)
	case policy.CheckHealth:
		r.sendHealthCheck(a)
	case policy.UnloadInstance:
		r.Counters.Unloads++
		r.workers.UnloadInstance(a.Worker, a.Function)
	case policy.CloseIdleConnections:
		r.workers.CloseIdleConnections(a.Worker)
	case policy.SetTimer:
		r.timers.schedule(r.now+max(a.After, 0), timer{kind: policyTimer, token: a.Token})
	}
}

// eventQueue gathers events for the policy. It uses two slices in turn, so that steady traffic allocates nothing.
type eventQueue struct {
	pending  []policy.Event
	recycled []policy.Event
}

func (q *eventQueue) add(event policy.Event) { q.pending = append(q.pending, event) }

func (q *eventQueue) empty() bool { return len(q.pending) == 0 }

// drain calls handle for each pending event in order, and empties the queue.
func (q *eventQueue) drain(handle func(policy.Event)) {
	batch := q.pending
	q.pending = q.recycled[:0]
	for i, event := range batch {
		handle(event)
		batch[i] = nil // the recycled slice must not keep what the event refers to
	}
	q.recycled = batch
}
