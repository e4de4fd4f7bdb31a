package simwire

import (
	"encoding/json"
	"fmt"

	"functionrouter/policy"
)

// unknownSemanticsError is a class's "semantics" that this version doesn't know.
type unknownSemanticsError string

func (e unknownSemanticsError) Error() string { return fmt.Sprintf("unknown semantics %q", string(e)) }

// ParseSettings converts the settings of an instance, JSON, to a policy.Config. Unknown keys are ignored. It
// fails where the text isn't JSON of the expected form or a class has unknown semantics.
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

// settings mirrors the keys that are used. Times are in milliseconds.
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

// config converts the settings section by section.
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

// parseGroup converts the group of a keyed class. What is absent or unknown counts as "cell", the narrowest
// promise.
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

type tenantSettings struct {
	AllowancePerS float64 `json:"allowancePerS"`
}

type reportSettings struct {
	Fields []string `json:"fields"`
	How    string   `json:"how"`
}

func (r reportSettings) apply(config *policy.Config) {
	config.LoadReportFields = r.Fields
	config.InlineLoadReports = r.How == "inline"
}

type limitSettings struct {
	Cancel          bool    `json:"cancel"`
	MayProbe        bool    `json:"mayProbe"`
	Peers           bool    `json:"peers"`
	SecondCopies    bool    `json:"secondCopies"`
	RetryAfter      bool    `json:"retryAfter"`
	MaxAttempts     int     `json:"maxAttempts"`
	MaxRetryAfterMs float64 `json:"maxRetryAfterMs"`
}

func (l limitSettings) apply(config *policy.Config) {
	config.AllowCancel = l.Cancel
	config.AllowHealthChecks = l.MayProbe
	config.AllowGossip = l.Peers
	config.AllowHedging = l.SecondCopies
	config.AllowRetryAfter = l.RetryAfter
	config.MaxAttempts = l.MaxAttempts
	config.MaxRetryAfter = fromMillis(l.MaxRetryAfterMs)
}

type ruleSettings struct {
	AskWithinMs  float64 `json:"askWithinMs"`
	ColdFrom     float64 `json:"coldFrom"`
	ColdMs       float64 `json:"coldMs"`
	DrainGraceMs float64 `json:"drainGraceMs"`
	FallMs       float64 `json:"fallMs"`
	FallMultiple float64 `json:"fallMultiple"`
}

func (r ruleSettings) apply(config *policy.Config) {
	config.ImplicitListAge = fromMillis(r.AskWithinMs)
	config.SlowStartCapacity = r.ColdFrom
	config.SlowStartDuration = fromMillis(r.ColdMs)
	config.DrainGrace = fromMillis(r.DrainGraceMs)
	config.OverloadWindow = fromMillis(r.FallMs)
	config.OverloadMultiple = r.FallMultiple
}

// functionSettings are the "specifics" of a service that loads functions on demand.
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
