package policy

import "time"

// Idempotency says under which conditions a request that may have run can be sent again.
type Idempotency uint8

// The levels of idempotency.
const (
	// Idempotent requests may run any number of times.
	Idempotent Idempotency = iota // idempotent
	// IdempotentWithKey requests are safe to repeat at workers in the DedupScope, which drop repeats within
	// the DedupWindow.
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
	DedupScope       DedupScope    // for IdempotentWithKey
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
// [*ConfigError]. A setting that New does not check has no invalid values, or is bounded where it is used.
//
// The policy currently does not read AllowHedging, Class.Deadline, Class.LateWeight, Class.ObjectiveStretch,
// Class.Streamed, ConcurrencyInAnswers, DrainGrace, InlineLoadReports, LoadCommandTimeout and Zone. The
// router reads some of them.
type Config struct {
	RouterCount  int // routers that share the fleet, this one included; values below 1 count as 1
	Zone         int // zone of this router
	Classes      []Class
	Tenants      []Tenant
	WeightByWork bool          // the value of a request grows with its work
	Tick         time.Duration // shortest time between two events with different times

	RequiresSubscription bool     // endpoint updates come only after Subscribe or FetchEndpoints
	LoadReportFields     []string // names of the values of a load report, in their order
	InlineLoadReports    bool     // load reports come with answers as well as with health checks

	MaxAttempts       int  // per request; 0: unlimited
	AllowCancel       bool // CancelAttempt is available
	AllowHealthChecks bool // CheckHealth is available
	AllowGossip       bool // SendGossip is available
	AllowHedging      bool // two attempts of a request may be in flight at the same time
	AllowRetryAfter   bool // clients receive RefuseRequest.RetryAfter
	MaxRetryAfter     time.Duration
	OverQuotaWeight   float64 // factor on the value of a request beyond its tenant's quota; 1 if unused

	ImplicitListAge   time.Duration // without a subscription, a list entry of this age counts as known
	SlowStartCapacity float64       // smallest share of its capacity that a worker has at its start, 0 to 1
	SlowStartDuration time.Duration // time after which a worker has its full capacity
	OverloadMultiple  float64       // a warming worker fails above this multiple of its capacity
	OverloadWindow    time.Duration // window over which the load of a warming worker counts
	DrainGrace        time.Duration

	MissWhenNotLoaded       bool          // workers answer FunctionNotLoaded instead of loading the function
	AllowLoadCommands       bool          // LoadInstance and UnloadInstance are available
	InstanceStatusInAnswers bool          // answers carry an InstanceStatus
	ConcurrencyInAnswers    bool          // answers carry AttemptEnded.FunctionConcurrency
	InstanceKeepAlive       time.Duration // shortest time that a worker keeps an idle instance
	LoadCommandTimeout      time.Duration // a load command without an answer ends as TimedOut after this
	LoadCommandWindow       time.Duration // window of the load command budget; 0: no budget
	LoadCommandAllowance    float64       // load commands per window that are always allowed
	LoadCommandsPerRequest  float64       // additional load commands per request that arrived in the window
}

// ConfigError reports a setting that a Policy cannot work with. If several settings are invalid, it reports
// the first one.
type ConfigError struct {
	Field  string // path of the field in Config, such as "Classes[1].Deadline"
	Reason string // what is wrong with its value
}

func (e *ConfigError) Error() string { return "policy: invalid " + e.Field + ": " + e.Reason }
