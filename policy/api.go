// Package policy decides to which worker a request for an on-demand function goes.
//
// A Policy is one dispatcher's decision maker. It is fed events in the order in
// which they happen and answers each with actions. It keeps no clock, starts no
// goroutine and does no I/O, so the same events always give the same actions.
package policy

import "time"

// RequestID names a request; it is never used twice.
type RequestID uint32

// WorkerID names a worker. It survives a restart of the worker's process.
type WorkerID uint64

// FunctionID names a function (a model) that workers load on demand.
type FunctionID uint64

// Idempotency says how far a class of requests may be sent again once it may have run.
type Idempotency uint8

// The kinds of Repeat.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // repeats are dropped within a group of workers, for a time
	NotIdempotent                        // must never run twice
)

// DedupScope says which workers drop the repeats of a Keyed request.
type DedupScope uint8

// The kinds of Group.
const (
	DedupFleet DedupScope = iota // every worker
	DedupZone                    // workers of one zone
	DedupCell                    // workers of one cell
)

// Class is a class of requests.
type Class struct {
	LatencyObjective time.Duration // answers within it earn the full worth
	Deadline         time.Duration // what a client waits in all
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      time.Duration // Keyed: how long repeats are remembered
	Streamed         bool
	PriorityWeight   float64
	LateWeight       float64
	// AimStretch lengthens Aim by this many times the request's own work; 0 where unused.
	ObjectiveStretch float64
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	QuotaPerSecond float64 // requests a second within its share, over all dispatchers
}

// Config is what a dispatcher is told when it starts.
type Config struct {
	RouterCount int // dispatchers, this one included; at least 1
	Zone        int // this dispatcher's zone
	Classes     []Class
	Tenants     []Tenant
	// WorthByWork says that a request's worth grows with its work.
	WeightByWork bool
	Tick         time.Duration // events come at most this often

	RequiresSubscription bool     // the worker list comes only after Subscribe or FetchList
	LoadReportFields     []string // names of the values in a load report
	InlineLoadReports    bool     // reports come with answers as well as with probes

	MaxAttempts     int // per request; 0: no limit
	AllowCancel     bool
	AllowProbes     bool
	AllowGossip     bool
	AllowHedging    bool // two attempts of a request may be out at once
	AllowRetryAfter bool // clients are given the advice in Refuse
	MaxRetryAfter   time.Duration
	OverQuotaWeight float64 // worth of a request beyond its tenant's share; 1 where unused

	ImplicitListAge   time.Duration // ListByAsking: an unasked list counts as told after this
	SlowStartCapacity float64       // a worker starts at this share of its capacity or more
	SlowStartDuration time.Duration // and is warm after this at the latest
	OverloadMultiple  float64       // sent more than this many times its present capacity
	OverloadWindow    time.Duration // for this long, a cold worker falls over
	DrainGrace        time.Duration

	MissWhenNotLoaded       bool          // a worker without the function answers Missed instead of loading it
	AllowLoadOrders         bool          // OrderLoad and Unload are allowed
	InstanceStatusInAnswers bool          // answers tell whether an instance stood loaded
	ConcurrencyInAnswers    bool          // answers tell how many requests of the function the worker held
	InstanceKeepAlive       time.Duration // an idle instance stays this long at least
	LoadOrderTimeout        time.Duration // an order with no answer by then ends as TimedOut
	LoadOrderWindow         time.Duration // window of the ration of load orders; 0: none
	LoadOrderAllowance      float64       // orders free in a window
	LoadOrdersPerRequest    float64       // and further ones as a share of the calls taken in it
}

// Outcome is how an attempt, a probe or a load order ended.
type Outcome uint8

// The outcomes. Full, Unreachable, Moot and Missed prove that an attempt never ran.
const (
	Served            Outcome = iota
	Errored                   // the worker answered with an error
	WorkerOverloaded          // turned away unseen
	TimedOut                  // no answer in time
	Unreachable               // no connection could be made
	ConnectionReset           // the connection broke
	Cancelled                 // called off
	NotSent                   // not sent
	FunctionNotLoaded         // the function is not loaded there
)

// NeverRan reports whether the outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool {
	return o == WorkerOverloaded || o == Unreachable || o == NotSent || o == FunctionNotLoaded
}

// InstanceStatus is what an answer tells of the function's instance.
type InstanceStatus uint8

// The notes.
const (
	InstanceUnknown InstanceStatus = iota
	InstanceWarm                   // an instance stood loaded
	LoadStarted                    // this request began a load
	LoadAwaited                    // it waited for a load begun before
	LoadFailed                     // the load that it waited for failed
)

// WorkerState is what the list says of a worker.
type WorkerState uint8

// The worker states.
const (
	Gone WorkerState = iota
	Ready
	Draining
)

// Endpoint is one line of a worker list.
type Endpoint struct {
	Worker    WorkerID
	State     WorkerState
	Zone      int
	Cell      int
	Weight    float64       // size in comparison with other workers; 0 where unknown
	StartedAt time.Duration // clock time of its last start; 0: long ago
}

// EndpointUpdateKind is the kind of a WorkerList.
type EndpointUpdateKind uint8

// The list kinds.
const (
	IncrementalUpdate EndpointUpdateKind = iota // changed entries only
	FullUpdate                                  // the whole list
	CachedUpdate                                // the whole list as last known, maybe old
	UpdateFailed                                // a call failed or the subscription broke; no entries
)

// Event is something that happened to the dispatcher. Only this package's types are events.
type Event interface{ event() }

// EndpointUpdate tells what is known of the workers.
type EndpointUpdate struct {
	Kind      EndpointUpdateKind
	Endpoints []Endpoint
}

// RequestArrived is a new request, to which one final answer is owed.
type RequestArrived struct {
	Request     RequestID
	Class       int
	Tenant      int
	Function    FunctionID
	Concurrency float64       // requests that one instance runs at a time
	MemoryMB    float64       // memory of one instance
	LoadTime    time.Duration // usual time of a load; 0 where not told
	WorkHint    time.Duration // hint of its work; 0 where not told
	TimeLeft    time.Duration // until the client gives up
	IsRetry     bool          // the client has tried before
}

// ClientCancelled says that the client has left; no answer is owed any more.
type ClientCancelled struct{ Request RequestID }

// TimerFired is a timer set by SetTimer.
type TimerFired struct{ Token uint64 }

// ProbeEnded is the answer to a Probe.
type ProbeEnded struct {
	Worker     WorkerID
	Outcome    Outcome
	Duration   time.Duration
	LoadReport []float64 // in the order of Config.ReportFields; empty where none came
}

// GossipReceived is a message of another dispatcher.
type GossipReceived struct {
	From int
	Data []byte
}

// LoadOrderEnded is the answer to an OrderLoad.
type LoadOrderEnded struct {
	Worker    WorkerID
	Function  FunctionID
	Outcome   Outcome
	Duration  time.Duration
	Instances int // instances that stand loaded there
}

// ResponseStarted says that the answer of a streamed request has begun.
type ResponseStarted struct {
	Request RequestID
	Attempt int
}

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	Request             RequestID
	Attempt             int
	Worker              WorkerID
	Outcome             Outcome
	InstanceStatus      InstanceStatus
	FunctionConcurrency int  // requests of the function that the worker held, with CrowdNotes
	RequestClosed       bool // the request is over
	Duration            time.Duration
	LoadReport          []float64
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

// Action is something that the dispatcher is to do. Only this package's types are actions.
type Action interface{ action() }

// SendAttempt starts an attempt; attempts of a request are numbered from 0 in the order of their sends.
type SendAttempt struct {
	Request RequestID
	Worker  WorkerID
	Timeout time.Duration // time-out of the attempt; 0: until the client gives up
}

// CancelAttempt calls an attempt off.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// GiveUpReason is why the module gave a request up.
type GiveUpReason uint8

// The causes.
const (
	DeadlineExceeded  GiveUpReason = iota // its time ran out
	NoWorkerAvailable                     // none may take it, or none soon enough
	PredictedTooLate                      // none would serve it in time
	LoadShed                              // it gave way to others
	GiveUpReasonCount                     // how many there are
)

// RefuseRequest is the final answer that trying again is harmless.
type RefuseRequest struct {
	Request    RequestID
	RetryAfter time.Duration // how long to stay away; 0: no advice
	Reason     GiveUpReason
}

// FailRequest is the final answer that promises nothing.
type FailRequest struct {
	Request RequestID
	Reason  GiveUpReason
}

// LoadInstance asks a worker to hold Count instances of a function; with Count 0 it only asks.
type LoadInstance struct {
	Worker    WorkerID
	Function  FunctionID
	Instances int
}

// UnloadInstance drops the idle instances of a function at a worker.
type UnloadInstance struct {
	Worker   WorkerID
	Function FunctionID
}

// ProbeWorker checks a worker; Probed answers it.
type ProbeWorker struct{ Worker WorkerID }

// SendGossip sends bytes to another dispatcher, or to all with To below 0.
type SendGossip struct {
	To   int
	Data []byte
}

// SetTimer asks for a TimerFired after a time.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// Subscribe asks for changes of the worker list from now on, or no longer.
type Subscribe struct{ On bool }

// FetchEndpoints asks for the whole worker list once.
type FetchEndpoints struct{}

// CloseIdleConnections closes the idle connections to a worker.
type CloseIdleConnections struct{ Worker WorkerID }

// LogLine is a line for the operators.
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
