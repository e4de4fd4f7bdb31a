package simwire

import (
	"encoding/json"
	"fmt"

	"functionrouter/policy"
)

// unknownSemanticsError holds a value of the key "semantics" of a class that ParseSettings does not support.
type unknownSemanticsError string

// Error returns a message that quotes the value.
func (e unknownSemanticsError) Error() string { return fmt.Sprintf("unknown semantics %q", string(e)) }

// ParseSettings converts the settings of a router, a JSON object, to a policy.Config. It ignores unknown keys. An
// absent key sets its field to the zero value, except that OverQuotaWeight is then 1. ParseSettings fails if the text
// is not JSON, if a value has the wrong type, or if a class has unknown semantics. It does not check whether values are
// valid; policy.New does.
func ParseSettings(text []byte) (policy.Config, error) {
	var s settings
	if err := json.Unmarshal(text, &s); err != nil {
		return policy.Config{}, fmt.Errorf("settings: %w", err)
	}
	config, err := s.config()
	if err != nil {
		return policy.Config{}, fmt.Errorf("settings: %w", err)
	}
	return config, nil
}

// settings holds the keys that the package uses; docs/GLOSSARY.md explains them. Times are in milliseconds.
type settings struct {
	PeersTotal     int              `json:"peersTotal"`
	Zone           int              `json:"zone"`
	GranularityMs  float64          `json:"granularityMs"`
	CountedBy      string           `json:"countedBy"`
	MembershipMode string           `json:"membershipMode"`
	OverShareWorth *float64         `json:"overShareWorth"`
	Classes        []classSettings  `json:"classes"`
	Accounts       []tenantSettings `json:"accounts"`
	Report         reportSettings   `json:"report"`
	Limits         limitSettings    `json:"limits"`
	Rules          ruleSettings     `json:"rules"`
	Specifics      functionSettings `json:"specifics"`
}

// config converts the settings to a policy.Config.
func (s settings) config() (policy.Config, error) {
	config := policy.Config{
		RouterCount:          s.PeersTotal,
		Zone:                 s.Zone,
		WeightByWork:         s.CountedBy == "work",
		Tick:                 fromMillis(s.GranularityMs),
		RequiresSubscription: s.MembershipMode == "subscribe",
		OverQuotaWeight:      1,
	}
	if s.OverShareWorth != nil {
		config.OverQuotaWeight = *s.OverShareWorth
	}
	for i, c := range s.Classes {
		class, err := c.class()
		if err != nil {
			return policy.Config{}, fmt.Errorf("class %d: %w", i, err)
		}
		config.Classes = append(config.Classes, class)
	}
	for _, t := range s.Accounts {
		config.Tenants = append(config.Tenants, policy.Tenant{QuotaPerSecond: t.AllowancePerS})
	}
	s.Report.apply(&config)
	s.Limits.apply(&config)
	s.Rules.apply(&config)
	s.Specifics.apply(&config)
	return config, nil
}

// classSettings is one entry of "classes" and describes a class of requests.
type classSettings struct {
	DeadlineMs float64 `json:"deadlineMs"`
	GoalTimeMs float64 `json:"goalTimeMs"`
	AimStretch float64 `json:"aimStretch"`
	Group      string  `json:"group"`
	LateWorth  float64 `json:"lateWorth"`
	Semantics  string  `json:"semantics"`
	Streamed   bool    `json:"streamed"`
	WindowMs   float64 `json:"windowMs"`
	Worth      float64 `json:"worth"`
}

// class converts the entry to a policy.Class. It ignores the name of the class, which the policy does not use.
func (c classSettings) class() (policy.Class, error) {
	idempotency, err := parseSemantics(c.Semantics)
	if err != nil {
		return policy.Class{}, err
	}
	return policy.Class{
		LatencyObjective: fromMillis(c.GoalTimeMs),
		Deadline:         fromMillis(c.DeadlineMs),
		Idempotency:      idempotency,
		DedupScope:       parseGroup(c.Group),
		DedupWindow:      fromMillis(c.WindowMs),
		Streamed:         c.Streamed,
		PriorityWeight:   c.Worth,
		LateWeight:       c.LateWorth,
		ObjectiveStretch: c.AimStretch,
	}, nil
}

// parseSemantics converts the value of "semantics", which says whether a request of the class may run more than once.
func parseSemantics(semantics string) (policy.Idempotency, error) {
	switch semantics {
	case "safe":
		return policy.Idempotent, nil
	case "keyed":
		return policy.IdempotentWithKey, nil
	case "unsafe":
		return policy.NotIdempotent, nil
	}
	return 0, unknownSemanticsError(semantics)
}

// parseGroup converts the value of "group", which says which workers share their idempotency keys and so detect a
// repeated request of a class with the semantics "keyed". An absent or unknown value is treated as "cell", because a
// cell is the smallest group and so gives the weakest guarantee.
func parseGroup(group string) policy.DedupScope {
	switch group {
	case "all":
		return policy.DedupFleet
	case "zone":
		return policy.DedupZone
	default:
		return policy.DedupCell
	}
}

// tenantSettings is one entry of "accounts" and describes a tenant.
type tenantSettings struct {
	AllowancePerS float64 `json:"allowancePerS"`
}

// reportSettings is the section "report": which values the load reports of the workers hold and how they are delivered.
type reportSettings struct {
	Fields []string `json:"fields"`
	How    string   `json:"how"`
}

// apply sets the fields of config that describe load reports.
func (r reportSettings) apply(config *policy.Config) {
	config.LoadReportFields = r.Fields
	config.InlineLoadReports = r.How == "inline"
}

// limitSettings is the section "limits": which actions the router may take, and the limits on attempts and Retry-After.
type limitSettings struct {
	Cancel          bool    `json:"cancel"`
	MayProbe        bool    `json:"mayProbe"`
	Peers           bool    `json:"peers"`
	SecondCopies    bool    `json:"secondCopies"`
	RetryAfter      bool    `json:"retryAfter"`
	MaxAttempts     int     `json:"maxAttempts"`
	MaxRetryAfterMs float64 `json:"maxRetryAfterMs"`
}

// apply sets the fields of config that allow or limit the router's actions.
func (l limitSettings) apply(config *policy.Config) {
	config.AllowCancel = l.Cancel
	config.AllowHealthChecks = l.MayProbe
	config.AllowGossip = l.Peers
	config.AllowHedging = l.SecondCopies
	config.AllowRetryAfter = l.RetryAfter
	config.MaxAttempts = l.MaxAttempts
	config.MaxRetryAfter = fromMillis(l.MaxRetryAfterMs)
}

// ruleSettings is the section "rules": the age from which an entry of the endpoint list counts as known to the router,
// and how workers behave after a start, in overload and while they drain.
type ruleSettings struct {
	AskWithinMs  float64 `json:"askWithinMs"`
	ColdFrom     float64 `json:"coldFrom"`
	ColdMs       float64 `json:"coldMs"`
	DrainGraceMs float64 `json:"drainGraceMs"`
	FallMs       float64 `json:"fallMs"`
	FallMultiple float64 `json:"fallMultiple"`
}

// apply sets the fields of config that describe the age of list entries, slow start, overload and draining.
func (r ruleSettings) apply(config *policy.Config) {
	config.ImplicitListAge = fromMillis(r.AskWithinMs)
	config.SlowStartCapacity = r.ColdFrom
	config.SlowStartDuration = fromMillis(r.ColdMs)
	config.DrainGrace = fromMillis(r.DrainGraceMs)
	config.OverloadWindow = fromMillis(r.FallMs)
	config.OverloadMultiple = r.FallMultiple
}

// functionSettings is the section "specifics": how workers load functions on demand, and which load commands are
// allowed.
type functionSettings struct {
	IfCold           string  `json:"ifCold"`
	LingerIdleMs     float64 `json:"lingerIdleMs"`
	LoadFree         float64 `json:"loadFree"`
	LoadPart         float64 `json:"loadPart"`
	LoadWaitMs       float64 `json:"loadWaitMs"`
	LoadsWithinMs    float64 `json:"loadsWithinMs"`
	NotesPeersInHand bool    `json:"notesPeersInHand"`
	PlacementCalls   bool    `json:"placementCalls"`
	WarmNotes        bool    `json:"warmNotes"`
}

// apply sets the fields of config that describe functions, their instances and load commands.
func (f functionSettings) apply(config *policy.Config) {
	config.MissWhenNotLoaded = f.IfCold == "miss"
	config.InstanceKeepAlive = fromMillis(f.LingerIdleMs)
	config.LoadCommandAllowance = f.LoadFree
	config.LoadCommandsPerRequest = f.LoadPart
	config.LoadCommandTimeout = fromMillis(f.LoadWaitMs)
	config.LoadCommandWindow = fromMillis(f.LoadsWithinMs)
	config.ConcurrencyInAnswers = f.NotesPeersInHand
	config.AllowLoadCommands = f.PlacementCalls
	config.InstanceStatusInAnswers = f.WarmNotes
}
