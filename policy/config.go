package policy

import "time"

// Idempotency says under which conditions a request that may have run can be sent again.
type Idempotency uint8

// The levels of idempotency.
const (
	// Idempotent requests may run any number of times.
	Idempotent Idempotency = iota // idempotent
	// IdempotentWithKey requests may run again, within the DedupWindow, at the workers that share the
	// DedupScope of the earlier attempt's worker: these workers drop repeats.
	IdempotentWithKey // idempotent_with_key
	// NotIdempotent requests must not run twice.
	NotIdempotent // not_idempotent
)

// DedupScope says which workers share the store of idempotency keys that detects repeats.
type DedupScope uint8

// The deduplication scopes.
const (
	// DedupFleet: all workers.
	DedupFleet DedupScope = iota // fleet
	// DedupZone: the workers of one zone.
	DedupZone // zone
	// DedupCell: the workers of one cell.
	DedupCell // cell
)

// Class describes a class of requests.
type Class struct {
	LatencyObjective time.Duration // an answer within this time earns the full PriorityWeight
	Deadline         time.Duration // time after which a client gives up
	Idempotency      Idempotency
	DedupScope       DedupScope    // for IdempotentWithKey: which workers share their keys
	DedupWindow      time.Duration // for IdempotentWithKey: how long workers remember a key
	Streamed         bool          // the response is streamed
	PriorityWeight   float64       // value of an answer within the objective, relative to other classes
	LateWeight       float64       // value of an answer after the objective
	// ObjectiveStretch lengthens LatencyObjective by this multiple of the request's own work; 0 means that
	// the objective is not lengthened.
	ObjectiveStretch float64
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	QuotaPerSecond float64 // requests per second within its quota, over all routers
}

// Config holds a router's settings. [New] rejects invalid values of classes, times, shares and budgets with a
// [*ConfigError]. New does not check Class.PriorityWeight and OverQuotaWeight, and the policy uses them
// without bounds: the caller must set finite values that are not negative. Every other setting that New does
// not check has no invalid values, is bounded where it is used, or is not read.
//
// The policy does not read AllowHedging, Class.LateWeight, Class.ObjectiveStretch, Class.Streamed,
// ConcurrencyInAnswers, DrainGrace, InlineLoadReports, LoadCommandTimeout and Zone, and it reads
// Class.Deadline only to check it. The router reads some of these settings.
type Config struct {
	RouterCount  int // routers that share the fleet, this one included; values below 1 count as 1
	Zone         int // zone of this router
	Classes      []Class
	Tenants      []Tenant
	WeightByWork bool          // the value of a request grows with its work
	Tick         time.Duration // resolution of the clock: different readings differ by at least this time

	RequiresSubscription bool     // endpoint updates come only after Subscribe or FetchEndpoints
	LoadReportFields     []string // names of the values of a load report, in their order
	InlineLoadReports    bool     // load reports come with answers as well as with health checks

	MaxAttempts       int           // per request; 0: unlimited
	AllowCancel       bool          // CancelAttempt is available
	AllowHealthChecks bool          // CheckHealth is available
	AllowGossip       bool          // SendGossip is available
	AllowHedging      bool          // two attempts of a request may be in flight at the same time
	AllowRetryAfter   bool          // clients receive RefuseRequest.RetryAfter
	MaxRetryAfter     time.Duration // largest RefuseRequest.RetryAfter; 0: clients receive none
	// OverQuotaWeight is a factor on the delay at which the policy begins to shed requests beyond their
	// tenant's quota. It has no effect if it is 1. If it is 0, these requests are shed at any delay above 0,
	// so callers that do not use the factor must set it to 1.
	OverQuotaWeight float64

	ImplicitListAge   time.Duration // age from which the router should know any entry of the endpoint list
	SlowStartCapacity float64       // least capacity of a new process, as a share of full capacity, 0 to 1
	SlowStartDuration time.Duration // time from a process's start until the worker has its full capacity
	OverloadMultiple  float64       // a warming worker fails above this multiple of its capacity
	OverloadWindow    time.Duration // window over which the work sent to a warming worker is summed
	DrainGrace        time.Duration // time that a draining worker gets to finish its requests

	MissWhenNotLoaded       bool          // workers answer FunctionNotLoaded instead of loading the function
	AllowLoadCommands       bool          // LoadInstance and UnloadInstance are available
	InstanceStatusInAnswers bool          // answers carry an InstanceStatus
	ConcurrencyInAnswers    bool          // answers carry the number of the function's requests at the worker
	InstanceKeepAlive       time.Duration // shortest time that a worker keeps an idle instance
	LoadCommandTimeout      time.Duration // time after which an unanswered load command ends with TimedOut
	LoadCommandWindow       time.Duration // window of the load command budget; 0: load commands are unlimited
	LoadCommandAllowance    float64       // load commands per window that are always allowed
	LoadCommandsPerRequest  float64       // additional load commands per request that arrived in the window
}

// ConfigError reports a setting that a Policy cannot work with. If several settings are invalid, New reports
// only the first one that it finds.
type ConfigError struct {
	Field  string // path of the field in Config, such as "Classes[1].Deadline"
	Reason string // what is wrong with its value
}

func (e *ConfigError) Error() string { return "policy: invalid " + e.Field + ": " + e.Reason }
