// Package router keeps the table of pending requests and connects the frontends, the routing policy and the workers. It
// depends on no wire format and reads no clock: frontends submit requests, a WorkerPool carries messages to workers,
// and the caller passes in the current time.
//
// The policy (policy.Policy) makes the routing decisions. The Router queues events for the policy, executes the actions
// that the policy returns, and keeps track of attempts, control calls, timers and counters.
//
// Each request that its client does not cancel gets exactly one final answer: at once, if a limit, a shutdown or a
// duplicate id prevents its admission (see Submit and RefuseAtOnce); otherwise when a worker has served it, when the
// policy refuses or fails it, when its client closes its side of the connection (see Disconnect), or at its deadline at
// the latest. A request that its client cancels gets no answer.
//
// Times are durations since a fixed start that the event loop chooses, and never decrease.
package router

//go:generate go tool -modfile=../../tools/go.mod stringer -linecomment -output=enum_string.go -type=CancelCause,Frontend,RequestOutcome,Status,controlKind,timerKind

import (
	"time"

	"functionrouter/policy"
)

// maxProcessInterval is the maximum time between two calls of Process when no timer is set.
const maxProcessInterval = time.Hour

// Limits bounds the requests that a Router holds and the time for which it waits for workers.
type Limits struct {
	MaxOpenRequests int // number of requests that are open or have attempts that have not ended
	MaxBodyBytes    int // total size of the bodies of all open requests
	// MaxWaits holds, by class, the longest time that a client waits, as the settings give it. The deadline of a request
	// is not later, whatever its client asks for. nil: no limit.
	MaxWaits []time.Duration
	// RetryAfter is the Response.RetryAfter of the answers that the Router gives without the policy: to a request that
	// RefuseAtOnce refuses, that enforceDeadline ends, or whose client closed its side of the connection (Disconnect).
	// 0 means that the answers specify no time.
	RetryAfter         time.Duration
	MaxAttempts        int           // attempts per request; 0 means no limit
	LoadCommandTimeout time.Duration // time until an unanswered load command ends with policy.TimedOut
	HealthCheckTimeout time.Duration // time until an unanswered health check ends with policy.TimedOut
	// RunsAreFinal says, by class, whether a request that may have run must not run again at will. nil: in no class.
	RunsAreFinal []bool
	// RunLifetime is how long the Router remembers at least that a request of such a class may have run, after it has
	// ended. MaxRuns is how many it remembers at once; beyond that it refuses requests of these classes.
	RunLifetime time.Duration
	MaxRuns     int
}

// Config holds the parameters of New.
type Config struct {
	// Policy makes the routing decisions. Only the Router may use it after the call of New.
	Policy *policy.Policy
	Limits Limits
	// NewWorkerPool returns the pool that carries messages to workers and reports their results to the Router. New
	// calls it before the Router has a pool, so the function may store the Router but must not call its methods.
	NewWorkerPool func(*Router) WorkerPool
	// OnRequestEnd, if not nil, is called once for each request, when the request ends. It runs on the event loop's
	// goroutine, during the Router method that ends the request. The call comes before Responder.Respond if Submit or
	// RefuseAtOnce answers the request itself, and after Respond if the request was open. For a request that Cancel
	// ends, Respond is not called. OnRequestEnd must not keep req: the Router clears its Body and Responder afterwards.
	OnRequestEnd func(now time.Duration, req *Request, outcome RequestOutcome)
}

// Router executes the decisions of a policy on the pending requests. It is not safe for concurrent use: only the event
// loop's goroutine may use it.
type Router struct {
	policy   *policy.Policy
	workers  WorkerPool
	limits   Limits
	now      time.Duration
	events   eventQueue
	actions  []policy.Action // returned by the policy for the last batch of events; the slice is reused
	timers   timerQueue
	requests requestTable
	runs     runHistory
	controls controlTable
	sendable []AttemptID // see sendAttempts; the slice is reused
	held     []AttemptID // attempts that wait for their clients' input before the worker pool gets them
	// noResultLog logs requests that ended without a result.
	noResultLog noResultLog
	// lateAnswerLog logs answers that come after their clients have stopped waiting.
	lateAnswerLog lateAnswerLog
	// latestDeadline is an upper bound for the deadlines of all requests; 0 means no bound. See BeginShutdown.
	latestDeadline   time.Duration
	admissionStopped bool // see StopAdmitting

	onRequestEnd func(now time.Duration, req *Request, outcome RequestOutcome)

	// Counters may be read on the event loop's goroutine between calls of the Router's methods.
	Counters Counters
}

// New returns a Router with an empty endpoint list.
func New(cfg Config) *Router {
	r := &Router{
		policy:       cfg.Policy,
		limits:       cfg.Limits,
		requests:     newRequestTable(),
		runs:         runHistory{lifetime: cfg.Limits.RunLifetime, limit: cfg.Limits.MaxRuns},
		controls:     newControlTable(),
		noResultLog:  newNoResultLog(),
		onRequestEnd: cfg.OnRequestEnd,

		lateAnswerLog: newLateAnswerLog(),
	}
	r.workers = cfg.NewWorkerPool(r)
	return r
}

// SetNow advances the Router's time; an earlier time has no effect. The event loop calls SetNow before it delivers
// results, because AttemptEnded, LoadCommandEnded and HealthCheckEnded use this time. The policy handles the events
// of these methods and of Submit in the next call of Process, or in the current call if they are called during Process.
func (r *Router) SetNow(now time.Duration) { r.now = max(r.now, now) }

// OpenRequests returns the number of requests that have neither been answered nor cancelled.
func (r *Router) OpenRequests() int { return r.requests.open }

// UpdateEndpoints queues an update of the endpoint list for the policy.
func (r *Router) UpdateEndpoints(update policy.EndpointUpdate) { r.events.add(update) }

// Process fires the due timers, gives the queued events to the policy and executes the actions that the policy returns.
// It then sends the attempts that may begin, for which it reads input of their clients (see sendAttempts). It repeats
// this until no timer is due and no event is queued, at most maxSendRounds times, and then removes the requests that are
// done. It returns the time by which it must be called again, which is now if attempts wait to be sent.
func (r *Router) Process(now time.Duration) (next time.Duration) {
	r.SetNow(now)
	var held bool
	for round := 0; ; round++ {
		r.decide()
		if round == maxSendRounds {
			held = len(r.held) > 0 || len(r.workers.SendableAttempts(r.sendable[:0])) > 0 // they wait for the next turn
			break
		}
		held = r.sendAttempts()
		if r.events.empty() { // otherwise sendAttempts has read input
			break
		}
	}
	r.requests.removeDone()
	r.timers.prune(r.isNeeded)
	if held {
		return now
	}
	if due, ok := r.timers.nextDue(); ok {
		return due
	}
	return now + maxProcessInterval
}

// Advance does what is due while input is being handled: it fires the due timers and lets the policy decide about the
// events that are queued. It sends no attempt. It must not be called during Process or by a Responder.
func (r *Router) Advance(now time.Duration) {
	r.SetNow(now)
	r.decide()
}

// decide fires the due timers, gives the queued events to the policy and executes the actions that the policy returns,
// until no timer is due and no event is queued.
func (r *Router) decide() {
	for {
		r.fireDueTimers()
		if r.events.empty() {
			return
		}
		r.actions = r.actions[:0]
		r.events.drain(r.deliver)
		for _, action := range r.actions {
			r.execute(action)
		}
	}
}

// deliver gives an event to the policy as the request table is now, not as it was when the event was queued: the end of an
// attempt tells whether its request has ended in the meantime.
func (r *Router) deliver(event policy.Event) {
	switch e := event.(type) {
	case policy.RequestArrived:
		if !r.beginRequest(e.Request) {
			return
		}
	case policy.AttemptEnded:
		e.RequestClosed = r.requests.findOpen(e.Request) == nil
		event = e
	}
	r.actions = r.policy.Handle(r.now, event, r.actions)
}

// beginRequest prepares a request for its arrival at the policy, and sets the timer for its deadline. It returns false if
// the request has ended or, after it has ended the request, if the deadline has been reached.
func (r *Router) beginRequest(id policy.RequestID) bool {
	p := r.requests.findOpen(id)
	if p == nil {
		return false
	}
	if r.now >= p.Deadline {
		r.enforceDeadline(id)
		return false
	}
	p.known = true
	r.timers.schedule(p.Deadline, timer{kind: requestDeadline, attempt: AttemptID{Request: id}})
	return true
}

// execute carries out an action of the policy.
//
// policy.Subscribe, policy.FetchEndpoints, policy.SendGossip and policy.LogLine have no effect: in this deployment
// the endpoint list arrives without a subscription, the settings disable gossip, and the log lines are not used.
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
		r.timers.schedule(r.now+max(a.After, 0),
			timer{kind: policyTimer, token: a.Token, attempt: AttemptID{Request: a.Request}})
	}
}

// eventQueue holds the events that the policy has not yet handled. It alternates between two slices, so that it does
// not allocate under steady traffic.
//
// The arrival of a request that ends before the policy has got it is removed again, so that clients that withdraw at once
// do not fill the queue.
type eventQueue struct {
	pending  []policy.Event
	recycled []policy.Event
	batch    int // number of calls of drain
}

// eventPosition identifies an event in an eventQueue.
type eventPosition struct {
	batch int // the call of drain that handles the event
	index int
}

// add queues an event and returns its position, for remove.
func (q *eventQueue) add(event policy.Event) eventPosition {
	q.pending = append(q.pending, event)
	return eventPosition{batch: q.batch, index: len(q.pending) - 1}
}

// remove removes an event, unless drain has already begun with the events among which it was queued. The positions of the
// other events do not change.
func (q *eventQueue) remove(position eventPosition) {
	if position.batch != q.batch {
		return
	}
	q.pending[position.index] = nil
	for last := len(q.pending) - 1; last >= 0 && q.pending[last] == nil; last-- {
		q.pending = q.pending[:last]
	}
}

func (q *eventQueue) empty() bool { return len(q.pending) == 0 }

// drain empties the queue and calls handle for each event that was pending, in order. Events that handle adds stay in
// the queue for the next call of drain.
func (q *eventQueue) drain(handle func(policy.Event)) {
	batch := q.pending
	q.pending = q.recycled[:0]
	q.batch++
	for i, event := range batch {
		if event != nil { // it was not removed
			handle(event)
		}
		batch[i] = nil // the recycled slice must not keep the event's data in memory
	}
	q.recycled = batch
}
