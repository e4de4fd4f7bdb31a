package policy

import "time"

// RequestID identifies a request. A router uses none again while the policy may know it: until its final
// answer, its cancel and the ends of all its attempts.
type RequestID uint32

// WorkerID identifies a worker. It survives a restart of the worker's process.
type WorkerID uint64

// FunctionID identifies a function (a model) that workers load on demand.
type FunctionID uint64

// WorkerState is the state of a worker by the endpoint list.
type WorkerState uint8

// The worker states.
const (
	// Gone: no longer listed.
	Gone WorkerState = iota // gone
	// Ready: takes requests.
	Ready // ready
	// Draining: finishes what it has and takes no more.
	Draining // draining
)

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
	// IncrementalUpdate holds changed entries only.
	IncrementalUpdate EndpointUpdateKind = iota // incremental
	// FullUpdate holds the whole list; workers that it lacks are gone.
	FullUpdate // full
	// CachedUpdate holds the whole list as last known, possibly out of date.
	CachedUpdate // cached
	// UpdateFailed: a fetch failed or the subscription broke; it has no entries.
	UpdateFailed // failed
)

// Event is something that happened at the router. Only this package's types are events.
type Event interface{ event() }

// EndpointUpdate says what changed in the endpoint list, or what it holds as a whole.
type EndpointUpdate struct {
	Kind      EndpointUpdateKind
	Endpoints []Endpoint
}

// RequestArrived is a new request, which is owed one final answer. One whose id is in use or whose class is
// out of range is ignored, and gets none.
type RequestArrived struct {
	Request     RequestID
	Class       int // index into Config.Classes
	Tenant      int // index into Config.Tenants; out of range: none
	Function    FunctionID
	Concurrency float64       // requests that one instance runs at a time
	MemoryMB    float64       // memory of one instance, in MiB; not read today
	LoadTime    time.Duration // usual time of a load; 0: unknown
	WorkHint    time.Duration // hint of the request's run time; 0: none
	TimeLeft    time.Duration // until the client gives up
	IsRepeat    bool          // the client has sent it before; not read today
}

// ClientCancelled says that the client has left; no answer is owed any more.
type ClientCancelled struct{ Request RequestID }

// TimerFired says that a timer set by SetTimer has expired.
type TimerFired struct{ Token uint64 }

// HealthCheckEnded is the result of a CheckHealth. Any answer is a sign of life, also one that tells of bad
// health: only TimedOut, Unreachable and ConnectionReset count as failures.
type HealthCheckEnded struct {
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

// LoadCommandEnded is the result of a LoadInstance.
type LoadCommandEnded struct {
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
	FunctionConcurrency int // requests of the function at the worker, with Config.ConcurrencyInAnswers
	// RequestClosed says that no answer is owed any more: the client has its final answer, or has cancelled.
	// It must be true where the outcome is Served, else the request is placed again.
	RequestClosed bool
	Duration      time.Duration
	LoadReport    []float64 // in the order of Config.LoadReportFields; empty where none came
}

func (EndpointUpdate) event()   {}
func (RequestArrived) event()   {}
func (ClientCancelled) event()  {}
func (TimerFired) event()       {}
func (HealthCheckEnded) event() {}
func (GossipReceived) event()   {}
func (LoadCommandEnded) event() {}
func (ResponseStarted) event()  {}
func (AttemptEnded) event()     {}
