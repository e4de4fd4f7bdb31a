package policy

import "time"

// RequestID identifies a request. A router may use an id again only after the request has its final answer or
// is cancelled, and all its attempts have ended.
type RequestID uint32

// WorkerID identifies a worker. It survives a restart of the worker's process.
type WorkerID uint64

// FunctionID identifies a function. Each request runs one function, and workers load functions on demand.
type FunctionID uint64

// WorkerState is the state of a worker according to the endpoint list.
type WorkerState uint8

// The worker states.
const (
	// Gone: the worker has been removed from the endpoint list.
	Gone WorkerState = iota // gone
	// Ready: the worker takes requests.
	Ready // ready
	// Draining: the worker finishes the requests that it has and takes no more.
	Draining // draining
)

// Endpoint is an entry of the endpoint list: a worker and its state.
type Endpoint struct {
	Worker    WorkerID
	State     WorkerState
	Zone      int
	Cell      int
	Weight    float64       // weight relative to other workers; 0: unknown; the policy does not read it
	StartedAt time.Duration // time when the worker's process started, on the router's clock; 0: unknown
}

// EndpointUpdateKind is the kind of an [EndpointUpdate].
type EndpointUpdateKind uint8

// The kinds of endpoint updates.
const (
	// IncrementalUpdate holds changed entries only.
	IncrementalUpdate EndpointUpdateKind = iota // incremental
	// FullUpdate holds the whole list; workers that are missing from it are gone.
	FullUpdate // full
	// CachedUpdate holds a stored copy of the whole list, which may be out of date; workers that are missing
	// from it are gone.
	CachedUpdate // cached
	// UpdateFailed: a fetch failed or the subscription broke. The update has no entries.
	UpdateFailed // failed
)

// Event is something that happened at the router. Only the types of this package are events.
type Event interface{ event() }

// EndpointUpdate reports changed entries of the endpoint list, the whole endpoint list, or a failure to
// obtain the list.
type EndpointUpdate struct {
	Kind      EndpointUpdateKind
	Endpoints []Endpoint
}

// EarlierRun tells that the client's id of a request is that of an earlier request that has ended and may
// have run. The request is then a repeat of the earlier one.
type EarlierRun struct {
	Worker WorkerID      // the worker of the first attempt that may have run
	SentAt time.Duration // when that attempt was sent
}

// RequestArrived is a new request, which must get one final answer. The policy ignores it, and gives it no
// answer, if its id is in use or its class is out of range.
type RequestArrived struct {
	Request     RequestID
	Class       int // index into Config.Classes
	Tenant      int // index into Config.Tenants; an index out of range means no tenant
	Function    FunctionID
	Concurrency float64       // number of requests that one instance can run at the same time
	MemoryMB    float64       // memory of one instance, in MiB; the policy does not read it
	LoadTime    time.Duration // hint: usual duration of a load of the function; 0: no hint
	WorkHint    time.Duration // hint: work (run time) that the client expects for the request; 0: no hint
	TimeLeft    time.Duration // time until the client gives up
	IsRepeat    bool          // the client has sent the request before; the policy does not read it
	EarlierRun  *EarlierRun   // nil: the request has not run before
}

// ClientCancelled says that a request needs no answer from the policy: its client has cancelled it or has
// disconnected, or the router has answered it at the deadline without the policy.
type ClientCancelled struct{ Request RequestID }

// TimerFired says that a timer set by SetTimer has expired.
type TimerFired struct{ Token uint64 }

// HealthCheckEnded is the result of a health check. Any answer shows that the worker is reachable, even an
// answer that reports bad health. Only TimedOut, Unreachable and ConnectionReset count as failures.
type HealthCheckEnded struct {
	Worker     WorkerID
	Outcome    Outcome
	Duration   time.Duration
	LoadReport []float64 // in the order of Config.LoadReportFields; empty if the answer had no load report
}

// GossipReceived is a message from another router.
type GossipReceived struct {
	From int // index of the router that sent the message; the policy does not read it
	Data []byte
}

// LoadCommandEnded is the result of a load command, which is a LoadInstance action.
type LoadCommandEnded struct {
	Worker    WorkerID
	Function  FunctionID
	Outcome   Outcome
	Duration  time.Duration
	Instances int // instances of the function that the worker holds; the policy does not read it
}

// ResponseStarted says that the response of a streamed request has begun to reach the client.
type ResponseStarted struct {
	Request RequestID
	Attempt int
}

// AttemptEnded is the result of an attempt, which a SendAttempt action starts.
type AttemptEnded struct {
	Request        RequestID
	Attempt        int
	Worker         WorkerID
	Outcome        Outcome
	InstanceStatus InstanceStatus
	// FunctionConcurrency is the current number of requests for the function at the worker, if
	// Config.ConcurrencyInAnswers is set. (RequestArrived.Concurrency is the number that one instance can
	// run.) The policy does not read FunctionConcurrency.
	FunctionConcurrency int
	// RequestClosed says that the request needs no answer, because its client has the final answer, has
	// cancelled the request or has disconnected. RequestClosed must be true if the outcome is Served: if it
	// is false, the policy may send the request again, whatever the outcome.
	RequestClosed bool
	// AnswerCorrupted says, with ConnectionReset, that the router closed the connection because an answer on
	// it was corrupted. The worker works, and may still run the request.
	AnswerCorrupted bool
	Duration        time.Duration
	// LoadReport is in the order of Config.LoadReportFields, and empty if the answer had no load report.
	LoadReport []float64
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
