package policy

import "time"

// Idempotency says under which conditions a request that may have run can be sent again.
type Idempotency uint8

// The levels of idempotency.
const (
	// Idempotent requests may run any number of times.
	Idempotent Idempotency = iota // idempotent
	// IdempotentWithKey requests may be sent again, within the DedupWindow, to the workers that share the
	// DedupScope of the earlier attempt's worker: these workers recognize the key and do not run a repeat.
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

// Class describes a class of requests. The work of a request, which some settings refer to, is defined in the
// section Units of the package documentation.
type Class struct {
	LatencyObjective time.Duration // an answer within this time has the value PriorityWeight
	Deadline         time.Duration // time after which a client gives up
	Idempotency      Idempotency
	DedupScope       DedupScope    // for IdempotentWithKey: which workers share their keys
	DedupWindow      time.Duration // for IdempotentWithKey: how long workers remember a key
	Streamed         bool          // the response is streamed
	PriorityWeight   float64       // value of an answer within the objective, relative to other classes
	LateWeight       float64       // value of an answer after the objective
	// ObjectiveStretch is the multiple of a request's work by which the request's objective is longer than
	// LatencyObjective; 0 means that the objective is not lengthened. The policy does not read
	// ObjectiveStretch: it uses LatencyObjective unchanged.
	ObjectiveStretch float64
}

// Tenant is a customer whose rate of requests has a quota.
type Tenant struct {
	// QuotaPerSecond is the quota in requests per second, summed over all routers. The policy may refuse
	// requests beyond the quota at lower delays than other requests; see OverQuotaWeight.
	QuotaPerSecond float64
}

// Config holds a router's settings. [New] returns a [*ConfigError] in these cases:
//
//   - Classes is empty, or a class has an invalid LatencyObjective, Deadline, Idempotency, DedupScope or
//     DedupWindow.
//   - MaxAttempts, Tick, SlowStartCapacity, SlowStartDuration, OverloadMultiple, OverloadWindow,
//     InstanceKeepAlive, LoadCommandWindow, LoadCommandAllowance or LoadCommandsPerRequest is negative or not
//     finite, or SlowStartCapacity is above 1.
//
// New does not check Class.PriorityWeight and OverQuotaWeight, and the policy uses them without bounds: the
// caller must set finite values that are not negative. Every other setting that New does not check has no
// invalid values, is bounded where it is used, or is not read.
//
// The policy does not read AllowHedging, Class.LateWeight, Class.ObjectiveStretch, Class.Streamed,
// ConcurrencyInAnswers, DrainGrace, InlineLoadReports, LoadCommandTimeout and Zone, and it reads
// Class.Deadline only to check it. The program cmd/functionrouter reads two of these settings: Class.Deadline
// and LoadCommandTimeout.
type Config struct {
	RouterCount  int // routers that share the fleet, this one included; values below 1 count as 1
	Zone         int // zone of this router
	Classes      []Class
	Tenants      []Tenant
	WeightByWork bool          // PriorityWeight is the value per unit of work instead of per request
	Tick         time.Duration // resolution of the clock: different readings differ by at least this time

	RequiresSubscription bool     // endpoint updates come only after Subscribe or FetchEndpoints
	LoadReportFields     []string // names of the values of a load report, in their order
	InlineLoadReports    bool     // load reports come with answers as well as with health checks

	MaxAttempts       int           // attempts per request; 0: unlimited
	AllowCancel       bool          // CancelAttempt is available
	AllowHealthChecks bool          // CheckHealth is available
	AllowGossip       bool          // SendGossip is available
	AllowHedging      bool          // two attempts of a request may be in flight at the same time
	AllowRetryAfter   bool          // clients receive RefuseRequest.RetryAfter
	MaxRetryAfter     time.Duration // largest RefuseRequest.RetryAfter; 0: clients receive none
	// OverQuotaWeight is not a weight but a factor: it multiplies the shedding threshold, which is the delay
	// above which the policy sheds requests beyond their tenant's quota. The comment of Policy.shouldShed
	// defines this delay, and the objective that the delay is divided by. A factor of 1 does not change the
	// threshold. With a factor of 0, shedding begins at any delay above 0: a first attempt is shed with a
	// probability of twice the ratio of the delay to that objective, at most 0.9, and a retry is never shed.
	// Callers that do not use the factor must set it to 1.
	OverQuotaWeight float64

	// ImplicitListAge is the age from which a router without a subscription is assumed to know an entry of
	// the endpoint list: an entry that was listed at least this long ago, whether or not the router received
	// the update. The policy renews a lost subscription well before that age.
	ImplicitListAge   time.Duration
	SlowStartCapacity float64       // share of full capacity that a worker's process starts with, 0 to 1
	SlowStartDuration time.Duration // time from a process's start until the worker has its full capacity
	// OverloadMultiple determines how much work a worker can get while it is warming up. The worker fails if
	// the work that all routers together send it within OverloadWindow exceeds OverloadMultiple times the
	// work that its capacity can serve in that time. If OverloadMultiple or OverloadWindow is 0, the policy
	// does not limit the work for such a worker.
	OverloadMultiple float64
	OverloadWindow   time.Duration // time over which the work sent to a worker that is warming up is summed
	// DrainGrace is the time within which the router must stop sending to a worker after it has learned that
	// the worker is draining or gone.
	DrainGrace time.Duration

	// MaxFunctionEntries bounds what the policy remembers of functions, since clients can name any number of
	// them: the number of functions, plus the number of instances at workers that have no attempt in flight
	// and no load command pending. 0: no limit.
	MaxFunctionEntries int

	MissWhenNotLoaded       bool          // workers answer FunctionNotLoaded instead of loading the function
	AllowLoadCommands       bool          // LoadInstance and UnloadInstance are available
	InstanceStatusInAnswers bool          // answers carry an InstanceStatus
	ConcurrencyInAnswers    bool          // answers carry AttemptEnded.FunctionConcurrency
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
