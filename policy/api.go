// Package policy decides which worker serves a request for a function that is loaded on demand.
//
// A [Policy] is the decision maker of one router. It is a deterministic state machine: the router feeds it
// events in the order in which they happen, and it answers each with actions for the router to carry out.
// It reads no clock, starts no goroutine and does no I/O, so the same seed and events always give the same
// actions.
//
// # How it decides
//
// Scoring follows the mask-aware scheduler of InstGenIE ("InstGenIE: Generative Image Editing Made Efficient
// with Mask-aware Caching and Scheduling"): a request goes to the worker with the lowest predicted latency. The
// rest is an addition to it, for many routers that do not see each other's requests:
//
//   - Prediction. The score is the sum of the queueing delay at the worker, the request's run time, the time of a
//     load if the worker lacks the function, and the wait for nothing if it leaves requests unserved. The delay
//     is a line, fitted online, over our requests in flight there, plus a constant for what others queue there.
//   - Placement. A function that must be loaded goes to its first worker by rendezvous hashing (highest random
//     weight; Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998), which ranks
//     workers alike at all routers. It is spread over as many workers, its replicas, as its share of our work
//     asks for, or more while they are saturated; each router keeps to one replica, and others keep the rest
//     warm. As many requests of others make it likely that it is loaded there, the load counts for less.
//   - Load orders and backoff. Where workers do not load by themselves, one order per missing instance is sent
//     within a budget. While loads fail, at whatever worker, they begin one at a time and ever more slowly, to
//     guard the store that functions are loaded from; requests that need a load wait.
//   - Slow start. What workers serve is within their capacity, so each router keeps its sends to a worker that
//     has just started below a multiple of what one worker serves it on average: the sum over all routers holds
//     however uneven the traffic is. A part of a request is rounded at random, once per start of the worker, so
//     that many routers that send little still send their sum.
//   - Outlier ejection. A worker that cannot be reached, or is silent for too long and fails a health check, is
//     ejected for a growing time; its attempts are cancelled where the request may be sent elsewhere.
//   - Load shedding. A standing delay that even the fastest answers show serves nobody, so a growing part of the
//     requests is shed: first those beyond their tenant's quota or late at best, then those of least value for
//     their work. The measure is the shortest objective among the request's class and those of more value.
//   - Gossip. Routers tell each other which instances are loaded, at a cost per request that does not grow with
//     their number.
//
// All times are offsets on the router's monotonic clock. Estimates are in nanoseconds and of type float64.
package policy

import (
	"fmt"
	"time"
)

// RequestID identifies a request; a router never uses one twice.
type RequestID uint32

// WorkerID identifies a worker. It survives a restart of the worker's process.
type WorkerID uint64

// FunctionID identifies a function (a model) that workers load on demand.
type FunctionID uint64

// Idempotency says under which conditions a request that may have run may be sent again.
type Idempotency uint8

// The levels of idempotency.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // workers in the DedupScope drop repeats within the DedupWindow
	NotIdempotent                        // must not run twice
)

// String returns the level's name for logs.
func (i Idempotency) String() string {
	return enumName(uint8(i), "idempotent", "idempotent_with_key", "not_idempotent")
}

// DedupScope says which workers share the memory of idempotency keys that detects repeats.
type DedupScope uint8

// The deduplication scopes.
const (
	DedupFleet DedupScope = iota // all workers
	DedupZone                    // the workers of one zone
	DedupCell                    // the workers of one cell
)

// String returns the scope's name for logs.
func (s DedupScope) String() string { return enumName(uint8(s), "fleet", "zone", "cell") }

// Class describes a class of requests.
type Class struct {
	LatencyObjective time.Duration // an answer within it earns the full PriorityWeight
	Deadline         time.Duration // after which a client gives up
	Idempotency      Idempotency
	DedupScope       DedupScope    // for IdempotentWithKey
	DedupWindow      time.Duration // for IdempotentWithKey: how long workers remember a key
	Streamed         bool          // the response is streamed
	PriorityWeight   float64       // value of an answer within the objective, relative to other classes
	LateWeight       float64       // value of a later answer
	// ObjectiveStretch lengthens LatencyObjective by this multiple of the request's own work; 0 if unused.
	ObjectiveStretch float64
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	QuotaPerSecond float64 // requests per second within its share, over all routers
}

// Config holds a router's settings. [New] rejects impossible values with a [*ConfigError].
type Config struct {
	RouterCount  int // routers that share the fleet, this one included; at least 1
	Zone         int // this router's zone
	Classes      []Class
	Tenants      []Tenant
	WeightByWork bool          // a request's value grows with its work
	Tick         time.Duration // least time between two events with different times

	RequiresSubscription bool     // endpoint updates come only after Subscribe or FetchEndpoints
	LoadReportFields     []string // names of the values of a load report, in order
	InlineLoadReports    bool     // load reports come with answers as well as with probes

	MaxAttempts     int  // per request; 0: unlimited
	AllowCancel     bool // CancelAttempt is available
	AllowProbes     bool // ProbeWorker is available
	AllowGossip     bool // SendGossip is available
	AllowHedging    bool // two attempts of a request may be in flight at once
	AllowRetryAfter bool // clients receive RefuseRequest.RetryAfter
	MaxRetryAfter   time.Duration
	OverQuotaWeight float64 // factor on the value of a request beyond its tenant's quota; 1 if unused

	ImplicitListAge   time.Duration // without a subscription, a list this old counts as known
	SlowStartCapacity float64       // least share of its capacity that a worker has at its start, 0 to 1
	SlowStartDuration time.Duration // time after which a worker has its full capacity
	OverloadMultiple  float64       // a warming worker fails if sent more than this multiple of its capacity
	OverloadWindow    time.Duration // over this window
	DrainGrace        time.Duration

	MissWhenNotLoaded       bool          // a worker answers FunctionNotLoaded instead of loading the function
	AllowLoadOrders         bool          // LoadInstance and UnloadInstance are available
	InstanceStatusInAnswers bool          // answers carry an InstanceStatus
	ConcurrencyInAnswers    bool          // answers carry AttemptEnded.FunctionConcurrency
	InstanceKeepAlive       time.Duration // least time that a worker keeps an idle instance
	LoadOrderTimeout        time.Duration // a load order without an answer ends as TimedOut after this
	LoadOrderWindow         time.Duration // window of the load order budget; 0: no budget
	LoadOrderAllowance      float64       // load orders per window that are always allowed
	LoadOrdersPerRequest    float64       // further ones per request that arrived within the window
}

// ConfigError reports a setting that a Policy cannot work with; of several such settings any one.
type ConfigError struct {
	Field  string // path of the field in Config, such as "Classes[1].Deadline"
	Reason string // what is wrong with its value
}

func (e *ConfigError) Error() string { return "policy: invalid " + e.Field + ": " + e.Reason }

// Outcome says how an attempt, a probe or a load order ended.
type Outcome uint8

// The outcomes. WorkerOverloaded, Unreachable, NotSent and FunctionNotLoaded prove that an attempt never ran.
const (
	Served            Outcome = iota // answered with success
	Errored                          // answered with an error
	WorkerOverloaded                 // rejected by the worker before it looked at the request
	TimedOut                         // no answer in time
	Unreachable                      // no connection could be made
	ConnectionReset                  // the connection broke before the answer
	Cancelled                        // cancelled by the router
	NotSent                          // never left the router
	FunctionNotLoaded                // rejected since the worker has no instance of the function
)

// NeverRan reports whether the outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool {
	return o == WorkerOverloaded || o == Unreachable || o == NotSent || o == FunctionNotLoaded
}

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	return enumName(uint8(o), "served", "errored", "worker_overloaded", "timed_out", "unreachable",
		"connection_reset", "cancelled", "not_sent", "function_not_loaded")
}

// InstanceStatus is what an answer says of the function's instance at the worker.
type InstanceStatus uint8

// The instance statuses.
const (
	InstanceUnknown InstanceStatus = iota
	InstanceWarm                   // an instance was loaded already
	LoadStarted                    // the request began a load
	LoadAwaited                    // the request waited for a load that was under way
	LoadFailed                     // the load that the request waited for failed
)

// String returns the status's name for logs.
func (s InstanceStatus) String() string {
	return enumName(uint8(s), "unknown", "warm", "load_started", "load_awaited", "load_failed")
}

// WorkerState is the state of a worker by the endpoint list.
type WorkerState uint8

// The worker states.
const (
	Gone     WorkerState = iota // no longer listed
	Ready                       // takes requests
	Draining                    // finishes what it has and takes no more
)

// String returns the state's name for logs.
func (s WorkerState) String() string { return enumName(uint8(s), "gone", "ready", "draining") }

// Endpoint is an entry of the endpoint list: a worker and its state.
type Endpoint struct {
	Worker    WorkerID
	State     WorkerState
	Zone      int
	Cell      int
	Weight    float64       // size relative to other workers; 0: unknown
	StartedAt time.Duration // clock time of the process's last start; 0: long ago
}

// EndpointUpdateKind is the kind of an [EndpointUpdate].
type EndpointUpdateKind uint8

// The kinds of endpoint updates.
const (
	IncrementalUpdate EndpointUpdateKind = iota // changed entries only
	FullUpdate                                  // the whole list; workers that it lacks are gone
	CachedUpdate                                // the whole list as last known, possibly out of date
	UpdateFailed                                // a fetch failed or the subscription broke; no entries
)

// String returns the kind's name for logs.
func (k EndpointUpdateKind) String() string {
	return enumName(uint8(k), "incremental", "full", "cached", "failed")
}

// enumName returns the name at an enum's value, or the number where it has none.
func enumName(value uint8, names ...string) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("unknown(%d)", value)
}

// Event is something that happened at the router. Only this package's types are events.
type Event interface{ event() }

// EndpointUpdate brings news of the endpoint list.
type EndpointUpdate struct {
	Kind      EndpointUpdateKind
	Endpoints []Endpoint
}

// RequestArrived is a new request, which is owed one final answer.
type RequestArrived struct {
	Request     RequestID
	Class       int // index into Config.Classes
	Tenant      int // index into Config.Tenants; out of range: none
	Function    FunctionID
	Concurrency float64       // requests that one instance runs at a time
	MemoryMB    float64       // memory of one instance, in MB
	LoadTime    time.Duration // usual time of a load; 0: unknown
	WorkHint    time.Duration // hint of the request's run time; 0: none
	TimeLeft    time.Duration // until the client gives up
	IsRetry     bool          // the client has sent it before
}

// ClientCancelled says that the client has left; no answer is owed any more.
type ClientCancelled struct{ Request RequestID }

// TimerFired says that a timer set by SetTimer has expired.
type TimerFired struct{ Token uint64 }

// ProbeEnded is the result of a ProbeWorker.
type ProbeEnded struct {
	Worker     WorkerID
	Outcome    Outcome
	Duration   time.Duration
	LoadReport []float64 // in the order of Config.LoadReportFields; empty where none came
}

// GossipReceived is a message of another router.
type GossipReceived struct {
	From int
	Data []byte
}

// LoadOrderEnded is the result of a LoadInstance.
type LoadOrderEnded struct {
	Worker    WorkerID
	Function  FunctionID
	Outcome   Outcome
	Duration  time.Duration
	Instances int // instances that are loaded at the worker
}

// ResponseStarted says that the response of a streamed request has begun to reach the client.
type ResponseStarted struct {
	Request RequestID
	Attempt int
}

// AttemptEnded is the result of a SendAttempt.
type AttemptEnded struct {
	Request             RequestID
	Attempt             int
	Worker              WorkerID
	Outcome             Outcome
	InstanceStatus      InstanceStatus
	FunctionConcurrency int  // requests of the function at the worker, with Config.ConcurrencyInAnswers
	RequestClosed       bool // the client has its final answer
	Duration            time.Duration
	LoadReport          []float64 // in the order of Config.LoadReportFields; empty where none came
}

func (EndpointUpdate) event()  {}
func (RequestArrived) event()  {}
func (ClientCancelled) event() {}
func (TimerFired) event()      {}
func (ProbeEnded) event()      {}
func (GossipReceived) event()  {}
func (LoadOrderEnded) event()  {}
func (ResponseStarted) event() {}
func (AttemptEnded) event()    {}

// Action is something for the router to do. Only this package's types are actions.
type Action interface{ action() }

// SendAttempt sends a request to a worker; a request's attempts are numbered from 0 in the order of their sends.
type SendAttempt struct {
	Request RequestID
	Worker  WorkerID
	Timeout time.Duration // of the attempt; 0: until the client gives up
}

// CancelAttempt cancels an attempt in flight; its AttemptEnded still follows.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// GiveUpReason is why the policy gave a request up.
type GiveUpReason uint8

// The reasons to give a request up.
const (
	DeadlineExceeded  GiveUpReason = iota // its time ran out
	NoWorkerAvailable                     // no worker may take it, or none soon enough
	PredictedTooLate                      // no worker is predicted to serve it in time
	LoadShed                              // it was shed in overload
	GiveUpReasonCount                     // the number of reasons
)

// String returns the reason's name for logs.
func (r GiveUpReason) String() string {
	return enumName(uint8(r), "deadline_exceeded", "no_worker_available", "predicted_too_late", "load_shed")
}

// RefuseRequest is a final answer that promises that the request did no work, or that repeating it is harmless.
type RefuseRequest struct {
	Request    RequestID
	RetryAfter time.Duration // advice when to try again; 0: none
	Reason     GiveUpReason
}

// FailRequest is a final answer that promises nothing: the request may have run.
type FailRequest struct {
	Request RequestID
	Reason  GiveUpReason
}

// LoadInstance orders a worker to hold a number of instances of a function; with 0 it only asks how many there are.
type LoadInstance struct {
	Worker    WorkerID
	Function  FunctionID
	Instances int
}

// UnloadInstance orders a worker to unload the idle instances of a function.
type UnloadInstance struct {
	Worker   WorkerID
	Function FunctionID
}

// ProbeWorker sends a health check to a worker; ProbeEnded follows.
type ProbeWorker struct{ Worker WorkerID }

// SendGossip sends a message to another router, or to all others with a negative To.
type SendGossip struct {
	To   int
	Data []byte
}

// SetTimer asks for a TimerFired with the token after a time.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// Subscribe starts or ends the subscription to the endpoint list.
type Subscribe struct{ On bool }

// FetchEndpoints asks for the whole endpoint list once.
type FetchEndpoints struct{}

// CloseIdleConnections closes the idle connections to a worker.
type CloseIdleConnections struct{ Worker WorkerID }

// LogLine is a line for the operators' log.
type LogLine struct{ Text string }

func (SendAttempt) action()          {}
func (CancelAttempt) action()        {}
func (RefuseRequest) action()        {}
func (FailRequest) action()          {}
func (LoadInstance) action()         {}
func (UnloadInstance) action()       {}
func (ProbeWorker) action()          {}
func (SendGossip) action()           {}
func (SetTimer) action()             {}
func (Subscribe) action()            {}
func (FetchEndpoints) action()       {}
func (CloseIdleConnections) action() {}
func (LogLine) action()              {}
