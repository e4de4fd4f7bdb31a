// Package router is the core of the function router. It knows no wire and no clock: fronts hand it
// requests, a Workers carries its messages, and Turn tells it the time. Every decision is
// policy.Policy's; the core keeps the request table, the attempts, the timers and the counters,
// and gives each request exactly one final answer.
package router

import (
	"container/heap"
	"fmt"
	"net/netip"
	"time"

	"functionrouter/policy"
)

// answerMargin is how long before a client's wait runs out its answer is to leave, and answerPart the part
// of a short wait that this may take. The way back takes a millisecond; the rest is for a machine that
// stalls: on a crowded one requests were seen to take 46 ms (99th percentile) to get through the program,
// and one answer came too late. Of a wait as short as the work itself all of that would leave nothing.
const (
	answerMargin = 40 * time.Millisecond
	answerPart   = 10
)

// AnswerBudget is how long after it was taken a request whose client waits for wait is to be answered.
func AnswerBudget(wait time.Duration) time.Duration { return wait - min(answerMargin, wait/answerPart) }

// Status is the kind of a final answer.
type Status uint8

// The verdicts.
const (
	Served  Status = iota // with the body that a worker gave
	Refused               // trying again is harmless
	Failed                // promises nothing
)

// String returns the status's name.
func (s Status) String() string {
	switch s {
	case Served:
		return "served"
	case Refused:
		return "refused"
	case Failed:
		return "failed"
	}
	return fmt.Sprintf("Status(%d)", uint8(s))
}

// Response is the final answer to a request.
type Response struct {
	Status           Status
	Body             []byte
	RetryAfter       time.Duration // Refused: how long to stay away
	MayHaveRun       bool          // not proven that no attempt ever ran
	DeadlineExceeded bool          // the time was over
}

// Responder is owed the final answer to a request.
type Responder interface{ Respond(Response) }

// Frontend names the front that a request came by.
type Frontend uint8

// The fronts.
const (
	Thrift Frontend = iota
	Webhook
	frontendCount
)

// String returns the front's name.
func (f Frontend) String() string {
	switch f {
	case Thrift:
		return "thrift"
	case Webhook:
		return "webhook"
	}
	return fmt.Sprintf("Frontend(%d)", uint8(f))
}

// Request is a call as a front took it.
type Request struct {
	Frontend        Frontend
	Responder       Responder
	ID              string // as the client worded it
	ClientReference string // the client's own name for it, where that is not the ID
	Class           int
	Tenant          int    // as in the settings, or NoTenant
	FunctionKey     string // the function, as the client worded it
	Function        policy.FunctionID
	MemoryMB        float64
	Concurrency     float64
	LoadTime        time.Duration
	Body            []byte
	Deadline        time.Duration // the final answer must have left by then

	ClientAddr netip.AddrPort // for the record only
	ReceivedAt time.Duration  // set by Take
}

// UnknownTenant is the Tenant of a request that names none that the settings know.
const UnknownTenant = -1

// ParseHexID reads 16 hex digits in lower case, as keys and ids are worded. Any other wording of the same
// number is refused: workers compare these as text, and an order to load names its function in this one.
func ParseHexID(s string) (uint64, bool) {
	if len(s) != 16 {
		return 0, false
	}
	n := uint64(0)
	for _, d := range []byte(s) {
		switch {
		case d >= '0' && d <= '9':
			d -= '0'
		case d >= 'a' && d <= 'f':
			d -= 'a' - 10
		default:
			return 0, false
		}
		n = n<<4 | uint64(d)
	}
	return n, true
}

// The most that a request's figures may say. What is beyond is no function that a worker could hold, and
// would only spoil the module's estimates.
const (
	MaxMemoryMB    = 1 << 20
	MaxConcurrency = 1024
	MaxLoadMs      = 600_000
	MaxWaitMs      = 600_000
)

// InRange tells whether a figure is a number from 0 to most.
func InRange(v, most float64) bool { return v >= 0 && v <= most }

// AttemptID names an attempt to the Workers.
type AttemptID struct {
	Request policy.RequestID
	Number  int
}

// WorkerPool carries messages to workers. Each Run, Hold and Probe is answered by one call of the
// Core's AttemptEnded, HoldEnded or Probed, at once or later.
type WorkerPool interface {
	StartAttempt(w policy.WorkerID, a AttemptID, r *Request, budget time.Duration)
	// Withdraw takes an attempt back of which nothing has been sent; false: it has ended, or is out.
	WithdrawQueued(a AttemptID) bool
	// Stop gives an attempt up; it is answered no more.
	CancelAttempt(w policy.WorkerID, a AttemptID)
	LoadInstance(w policy.WorkerID, f policy.FunctionID, count int, tag uint64)
	// Forget drops interest in an order or a probe that took too long.
	AbandonControl(w policy.WorkerID, tag uint64)
	UnloadInstance(w policy.WorkerID, f policy.FunctionID)
	Probe(w policy.WorkerID, tag uint64)
	CloseIdleConnections(w policy.WorkerID)
}

// Limits bounds a Core.
type Limits struct {
	MaxOpenRequests  int           // requests open at once
	MaxBodyBytes     int           // their bodies together
	RetryAfter       time.Duration // what those are told that are turned away; 0: nothing
	MaxAttempts      int           // of a request
	LoadOrderTimeout time.Duration // an order with no answer by then has timed out
	ProbeTimeout     time.Duration
}

// Router is the function router. It is not safe for concurrent use.
type Router struct {
	policy   *policy.Policy
	workers  WorkerPool
	limits   Limits
	now      time.Duration
	events   []policy.Event
	spare    []policy.Event
	actions  []policy.Action
	timers   timers
	seq      uint64
	reqs     map[policy.RequestID]*entry
	ids      map[string]struct{} // what their clients call them
	last     policy.RequestID
	open     int
	bytes    int
	asked    map[uint64]*question
	tag      uint64
	Counters Counters
	// Draining has what comes from now on refused: the program is about to end.
	Draining bool
	// OnRequestEnd, where set, is called once for each request, when it has ended.
	OnRequestEnd func(now time.Duration, r *Request, outcome RequestOutcome)
}

// Counters tells what the core took, sent and answered.
type Counters struct {
	Received, Served, Refused, Failed, ClientCancelled, Rejected [frontendCount]uint64
	AttemptsSent, LoadOrders, Probes, Unloads                    uint64
	AttemptOutcomes                                              [policy.FunctionNotLoaded + 1]uint64 // attempts, by outcome
	LoadOrderOutcomes, ProbeOutcomes                             [policy.FunctionNotLoaded + 1]uint64 // by outcome
	Overdue                                                      uint64                               // answered by the guard, not by the module
	GivenUp                                                      [policy.GiveUpReasonCount]uint64     // by the module, by cause
}

type entry struct {
	Request
	attempts []attempt
	out      int // attempts that have not ended
	mayRun   bool
	done     bool
}

type attempt struct {
	worker policy.WorkerID
	sent   time.Duration
	ended  bool
}

// question is an order or a probe that awaits its answer.
type question struct {
	worker   policy.WorkerID
	function policy.FunctionID
	probe    bool
	sent     time.Duration
}

// New returns a Core around p.
func New(p *policy.Policy, limits Limits) *Router {
	return &Router{policy: p, limits: limits, reqs: map[policy.RequestID]*entry{}, ids: map[string]struct{}{}, asked: map[uint64]*question{}}
}

// SetWorkerPool sets the Workers; it is called once, before anything else.
func (c *Router) SetWorkerPool(w WorkerPool) { c.workers = w }

// OpenRequests is how many requests are owed an answer.
func (c *Router) OpenRequests() int { return c.open }

// UpdateEndpoints hands in a worker list.
func (c *Router) UpdateEndpoints(l policy.EndpointUpdate) { c.events = append(c.events, l) }

// Submit hands in a request. It returns its id; the answer may come before Take returns.
func (c *Router) Submit(now time.Duration, r Request) policy.RequestID {
	c.now = max(c.now, now)
	if c.Draining || c.open >= c.limits.MaxOpenRequests || c.bytes+len(r.Body) > c.limits.MaxBodyBytes {
		// Bounds our memory, and lets a stop come to its end under clients that go on sending.
		c.Reject(now, r)
		return 0
	}
	c.Counters.Received[r.Frontend]++
	if _, open := c.ids[r.ID]; open {
		// Workers know a request by its id: under one id they would answer one request's body to the
		// other. Which of the two a client means can't be told, so the later one fails.
		c.Counters.Failed[r.Frontend]++
		if r.ReceivedAt = c.now; c.OnRequestEnd != nil {
			c.OnRequestEnd(c.now, &r, RequestFailed)
		}
		r.Responder.Respond(Response{Status: Failed})
		return 0
	}
	for c.last++; c.last == 0 || c.reqs[c.last] != nil; c.last++ {
	}
	r.ReceivedAt = c.now
	e := &entry{Request: r}
	c.reqs[c.last] = e
	c.ids[r.ID] = struct{}{}
	c.open++
	c.bytes += len(r.Body)
	c.events = append(c.events, policy.RequestArrived{Request: c.last, Class: r.Class, Tenant: r.Tenant, Function: r.Function, Concurrency: r.Concurrency,
		MemoryMB: r.MemoryMB, LoadTime: r.LoadTime, TimeLeft: max(r.Deadline-c.now, 0)})
	c.after(r.Deadline, timer{kind: timeUp, request: c.last})
	return c.last
}

// Reject refuses a request that we have no room for; the module never hears of it.
func (c *Router) Reject(now time.Duration, r Request) {
	c.now = max(c.now, now)
	c.Counters.Received[r.Frontend]++
	c.Counters.Rejected[r.Frontend]++
	if r.ReceivedAt = c.now; c.OnRequestEnd != nil {
		c.OnRequestEnd(c.now, &r, RequestRefused)
	}
	r.Responder.Respond(Response{Status: Refused, RetryAfter: c.limits.RetryAfter})
}

// Cancel says that the client no longer waits for a request.
func (c *Router) Cancel(now time.Duration, id policy.RequestID) {
	c.now = max(c.now, now)
	if e := c.reqs[id]; e != nil && !e.done {
		c.Counters.ClientCancelled[e.Frontend]++
		c.close(id, e, RequestAbandoned)
		c.events = append(c.events, policy.ClientCancelled{Request: id})
	}
}

// AttemptEnded says how an attempt ended. Reports of one that has ended already are ignored.
func (c *Router) AttemptEnded(a AttemptID, o policy.Outcome, n policy.InstanceStatus, body []byte, report []float64) {
	e := c.reqs[a.Request]
	if e == nil || a.Number >= len(e.attempts) || e.attempts[a.Number].ended {
		return
	}
	t := &e.attempts[a.Number]
	t.ended = true
	e.out--
	e.mayRun = e.mayRun || !o.NeverRan()
	c.Counters.AttemptOutcomes[o]++
	if o == policy.Served && !e.done {
		c.Counters.Served[e.Frontend]++
		e.Responder.Respond(Response{Status: Served, Body: body, MayHaveRun: true})
		c.close(a.Request, e, RequestServed)
	}
	c.events = append(c.events, policy.AttemptEnded{Request: a.Request, Attempt: a.Number, Worker: t.worker, Outcome: o,
		InstanceStatus: n, RequestClosed: e.done, Duration: c.now - t.sent, LoadReport: report})
	c.release(a.Request, e)
}

// LoadOrderEnded says how an order to load ended.
func (c *Router) LoadOrderEnded(tag uint64, o policy.Outcome, count int) {
	if q := c.asked[tag]; q != nil && !q.probe {
		delete(c.asked, tag)
		c.Counters.LoadOrderOutcomes[o]++
		c.events = append(c.events, policy.LoadOrderEnded{Worker: q.worker, Function: q.function, Outcome: o,
			Duration: c.now - q.sent, Instances: count})
	}
}

// ProbeEnded says how a probe ended.
func (c *Router) ProbeEnded(tag uint64, o policy.Outcome, report []float64) {
	if q := c.asked[tag]; q != nil && q.probe {
		delete(c.asked, tag)
		c.Counters.ProbeOutcomes[o]++
		c.events = append(c.events, policy.ProbeEnded{Worker: q.worker, Outcome: o, Duration: c.now - q.sent, LoadReport: report})
	}
}

// SetNow moves the clock on before what happened in a turn is handed in.
func (c *Router) SetNow(now time.Duration) { c.now = max(c.now, now) }

// Process hands the module all that was gathered, carries out what it answers, and returns when it
// is to be called again at the latest.
func (c *Router) Process(now time.Duration) (next time.Duration) {
	c.SetNow(now)
	for {
		for len(c.timers) > 0 && c.timers[0].due <= c.now {
			c.fire(heap.Pop(&c.timers).(timer))
		}
		if len(c.events) == 0 {
			break
		}
		events := c.events
		c.events, c.actions = c.spare[:0], c.actions[:0]
		for i, ev := range events {
			c.actions = c.policy.Handle(c.now, ev, c.actions)
			events[i] = nil
		}
		c.spare = events
		for _, a := range c.actions {
			c.carryOut(a)
		}
	}
	if len(c.timers) == 0 {
		return now + time.Hour
	}
	return c.timers[0].due
}

func (c *Router) carryOut(a policy.Action) {
	switch a := a.(type) {
	case policy.SendAttempt:
		c.send(a)
	case policy.CancelAttempt:
		c.cancel(AttemptID{a.Request, a.Attempt}, policy.Cancelled)
	case policy.RefuseRequest:
		if e := c.reqs[a.Request]; e != nil && !e.done {
			c.Counters.GivenUp[a.Reason]++
			c.final(a.Request, e, Response{Status: Refused, RetryAfter: a.RetryAfter})
		}
	case policy.FailRequest:
		if e := c.reqs[a.Request]; e != nil && !e.done {
			c.Counters.GivenUp[a.Reason]++
			c.final(a.Request, e, Response{Status: Failed})
		}
	case policy.LoadInstance:
		c.Counters.LoadOrders++
		tag := c.ask(question{worker: a.Worker, function: a.Function}, c.limits.LoadOrderTimeout)
		c.workers.LoadInstance(a.Worker, a.Function, a.Instances, tag)
	case policy.ProbeWorker:
		c.Counters.Probes++
		c.workers.Probe(a.Worker, c.ask(question{worker: a.Worker, probe: true}, c.limits.ProbeTimeout))
	case policy.UnloadInstance:
		c.Counters.Unloads++
		c.workers.UnloadInstance(a.Worker, a.Function)
	case policy.CloseIdleConnections:
		c.workers.CloseIdleConnections(a.Worker)
	case policy.SetTimer:
		c.after(c.now+max(a.After, 0), timer{kind: moduleTimer, token: a.Token})
	}
	// Subscribe, FetchList and Tell ask for what this deployment does not have: the list comes
	// by itself, and the settings allow no peers. Log lines are of no use to the operators here.
}

// send starts an attempt.
func (c *Router) send(a policy.SendAttempt) {
	e := c.reqs[a.Request]
	if e == nil {
		return
	}
	n := len(e.attempts)
	e.attempts = append(e.attempts, attempt{worker: a.Worker, sent: c.now})
	e.out++
	id, left := AttemptID{a.Request, n}, e.Deadline-c.now
	if a.Timeout > 0 {
		left = min(left, a.Timeout)
	}
	if e.done || left <= 0 || c.limits.MaxAttempts > 0 && n >= c.limits.MaxAttempts {
		c.AttemptEnded(id, policy.NotSent, policy.InstanceUnknown, nil, nil)
		return
	}
	if a.Timeout > 0 && left == a.Timeout { // else the request's own timer does it
		c.after(c.now+left, timer{kind: attemptUp, request: a.Request, number: n})
	}
	c.Counters.AttemptsSent++
	c.workers.StartAttempt(a.Worker, id, &e.Request, left)
}

// cancel gives an attempt up. Whether the worker stops is up to the worker: it may have run.
func (c *Router) cancel(a AttemptID, o policy.Outcome) {
	if e := c.reqs[a.Request]; e != nil && a.Number < len(e.attempts) && !e.attempts[a.Number].ended {
		c.workers.CancelAttempt(e.attempts[a.Number].worker, a)
		c.AttemptEnded(a, o, policy.InstanceUnknown, nil, nil)
	}
}

// final gives the answer that is not a worker's.
func (c *Router) final(id policy.RequestID, e *entry, a Response) {
	a.MayHaveRun = e.mayRun || e.out > 0
	a.DeadlineExceeded = c.now >= e.Deadline-finalMargin
	end := RequestFailed
	if a.Status == Refused {
		end = RequestRefused
		c.Counters.Refused[e.Frontend]++
	} else {
		c.Counters.Failed[e.Frontend]++
	}
	e.Responder.Respond(a)
	c.close(id, e, end)
}

// finalMargin is how close to its deadline an unanswered request counts as out of time; the
// module ends requests two of its ticks before, 8 ms in this deployment's settings.
const finalMargin = 10 * time.Millisecond

func (c *Router) close(id policy.RequestID, e *entry, end RequestOutcome) {
	e.done = true
	for n := range e.attempts { // nobody waits any more for what has yet to be sent
		if a := (AttemptID{id, n}); !e.attempts[n].ended && c.workers.WithdrawQueued(a) {
			c.AttemptEnded(a, policy.NotSent, policy.InstanceUnknown, nil, nil)
		}
	}
	if c.OnRequestEnd != nil {
		c.OnRequestEnd(c.now, &e.Request, end)
	}
	c.open--
	c.bytes -= len(e.Body)
	e.Body, e.Responder = nil, nil
	c.release(id, e)
}

func (c *Router) release(id policy.RequestID, e *entry) {
	if e.done && e.out == 0 && c.reqs[id] == e {
		delete(c.reqs, id)
		delete(c.ids, e.ID)
	}
}

func (c *Router) ask(q question, limit time.Duration) uint64 {
	c.tag++
	q.sent = c.now
	c.asked[c.tag] = &q
	c.after(c.now+limit, timer{kind: questionUp, token: c.tag})
	return c.tag
}

func (c *Router) fire(t timer) {
	switch t.kind {
	case moduleTimer:
		c.events = append(c.events, policy.TimerFired{Token: t.token})
	case attemptUp:
		c.cancel(AttemptID{t.request, t.number}, policy.TimedOut)
	case questionUp:
		q := c.asked[t.token]
		if q == nil {
			return
		}
		c.workers.AbandonControl(q.worker, t.token)
		if q.probe {
			c.ProbeEnded(t.token, policy.TimedOut, nil)
		} else {
			c.LoadOrderEnded(t.token, policy.TimedOut, 0)
		}
	case timeUp:
		// The module ends every request before this. Should it not, the client still gets its one
		// answer in time, as a failure unless nothing was ever sent.
		e := c.reqs[t.request]
		if e == nil {
			return
		}
		for n := range e.attempts {
			c.cancel(AttemptID{t.request, n}, policy.TimedOut)
		}
		if !e.done {
			c.Counters.Overdue++
			v := Failed
			if !e.mayRun {
				v = Refused
			}
			c.final(t.request, e, Response{Status: v})
			c.events = append(c.events, policy.ClientCancelled{Request: t.request})
		}
	}
}

type timerKind uint8

const (
	moduleTimer timerKind = iota
	attemptUp
	questionUp
	timeUp
)

type timer struct {
	due     time.Duration
	seq     uint64 // timers due together fire in the order in which they were set
	kind    timerKind
	token   uint64
	request policy.RequestID
	number  int
}

func (c *Router) after(due time.Duration, t timer) {
	c.seq++
	t.due, t.seq = due, c.seq
	heap.Push(&c.timers, t)
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].due < t[j].due || t[i].due == t[j].due && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}
