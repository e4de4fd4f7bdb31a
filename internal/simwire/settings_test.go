package simwire

import (
	"encoding/json"
	"errors"
	"math"
	"reflect"
	"testing"
	"time"

	"functionrouter/policy"
)

// allSettings holds every key that ParseSettings uses, each with a distinct value, and some keys that it ignores.
const allSettings = `{"unknown": [1], "peersTotal": 3, "zone": 2, "granularityMs": 2.5, "countedBy": "work",
	"membershipMode": "subscribe", "overShareWorth": 0.25, "selfIndex": 9,
	"classes": [
		{"name": "a", "deadlineMs": 4000, "goalTimeMs": 400, "group": "all", "semantics": "keyed", "windowMs": 2500,
			"worth": 9, "lateWorth": 0.5, "streamed": true, "aimStretch": 1.5},
		{"semantics": "safe", "group": "zone"},
		{"semantics": "unsafe", "group": "cell"},
		{"semantics": "safe"}],
	"accounts": [{"name": "t", "allowancePerS": 120, "portion": 0.4}, {"allowancePerS": 30}],
	"report": {"fields": ["queue", "x0"], "how": "inline"},
	"limits": {"cancel": true, "mayProbe": true, "peers": true, "secondCopies": true, "retryAfter": true,
		"maxAttempts": 6, "maxRetryAfterMs": 2000},
	"rules": {"askWithinMs": 10000, "coldFrom": 0.17, "coldMs": 15000, "drainGraceMs": 1900, "fallMs": 1500,
		"fallMultiple": 3},
	"specifics": {"ifCold": "miss", "lingerIdleMs": 11000, "loadFree": 4, "loadPart": 0.3, "loadWaitMs": 9000,
		"loadsWithinMs": 5000, "notesPeersInHand": true, "placementCalls": true, "warmNotes": true}}`

func TestParseSettingsReadsEveryKey(t *testing.T) {
	got, err := ParseSettings([]byte(allSettings))
	if err != nil {
		t.Fatal(err)
	}
	want := policy.Config{
		RouterCount: 3,
		Zone:        2,
		Classes: []policy.Class{
			{
				LatencyObjective: 400 * time.Millisecond,
				Deadline:         4 * time.Second,
				Idempotency:      policy.IdempotentWithKey,
				DedupScope:       policy.DedupFleet,
				DedupWindow:      2500 * time.Millisecond,
				Streamed:         true,
				PriorityWeight:   9,
				LateWeight:       0.5,
				ObjectiveStretch: 1.5,
			},
			{Idempotency: policy.Idempotent, DedupScope: policy.DedupZone},
			{Idempotency: policy.NotIdempotent, DedupScope: policy.DedupCell},
			{Idempotency: policy.Idempotent, DedupScope: policy.DedupCell},
		},
		Tenants:                 []policy.Tenant{{QuotaPerSecond: 120}, {QuotaPerSecond: 30}},
		WeightByWork:            true,
		Tick:                    2500 * time.Microsecond,
		RequiresSubscription:    true,
		LoadReportFields:        []string{"queue", "x0"},
		InlineLoadReports:       true,
		MaxAttempts:             6,
		AllowCancel:             true,
		AllowHealthChecks:       true,
		AllowGossip:             true,
		AllowHedging:            true,
		AllowRetryAfter:         true,
		MaxRetryAfter:           2 * time.Second,
		OverQuotaWeight:         0.25,
		ImplicitListAge:         10 * time.Second,
		SlowStartCapacity:       0.17,
		SlowStartDuration:       15 * time.Second,
		OverloadMultiple:        3,
		OverloadWindow:          1500 * time.Millisecond,
		DrainGrace:              1900 * time.Millisecond,
		MissWhenNotLoaded:       true,
		AllowLoadCommands:       true,
		InstanceStatusInAnswers: true,
		ConcurrencyInAnswers:    true,
		InstanceKeepAlive:       11 * time.Second,
		LoadCommandTimeout:      9 * time.Second,
		LoadCommandWindow:       5 * time.Second,
		LoadCommandAllowance:    4,
		LoadCommandsPerRequest:  0.3,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

func TestParseSettingsDefaults(t *testing.T) {
	got, err := ParseSettings([]byte(`{}`))
	if want := (policy.Config{OverQuotaWeight: 1}); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v and error %v, want %+v and no error", got, err, want)
	}
}

func TestParseSettingsErrors(t *testing.T) {
	t.Run("malformed JSON", func(t *testing.T) {
		var syntax *json.SyntaxError
		if _, err := ParseSettings([]byte(`{`)); !errors.As(err, &syntax) {
			t.Errorf("got error %v, want a *json.SyntaxError", err)
		}
	})
	t.Run("unknown semantics", func(t *testing.T) {
		var semantics unknownSemanticsError
		_, err := ParseSettings([]byte(`{"classes": [{"semantics": "maybe"}]}`))
		if !errors.As(err, &semantics) || semantics != "maybe" {
			t.Errorf("got error %v, want unknown semantics %q", err, "maybe")
		}
	})
}

func TestFromMillisReturnsZeroForInvalidTimes(t *testing.T) {
	for _, ms := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 2 * maxMillis} {
		if got := fromMillis(ms); got != 0 {
			t.Errorf("%v ms: got %v, want 0", ms, got)
		}
	}
}
