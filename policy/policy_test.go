package policy

import (
	"errors"
	"math"
	"testing"
	"time"
)

func TestNewRejectsImpossibleSettings(t *testing.T) {
	for _, tc := range []struct {
		name, field string
		spoil       func(*Config)
	}{
		{"no classes", "Classes", func(c *Config) { c.Classes = nil }},
		{"no deadline", "Classes[0].Deadline", func(c *Config) { c.Classes[0].Deadline = 0 }},
		{"capacity above 1", "SlowStartCapacity", func(c *Config) { c.SlowStartCapacity = 1.5 }},
		{"not a number", "OverloadMultiple", func(c *Config) { c.OverloadMultiple = math.NaN() }},
		{"negative tick", "Tick", func(c *Config) { c.Tick = -1 }},
		{"infinite loads", "LoadCommandAllowance", func(c *Config) { c.LoadCommandAllowance = math.Inf(1) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := testConfig()
			tc.spoil(&cfg)
			_, err := New(cfg, 1)
			var invalid *ConfigError
			if !errors.As(err, &invalid) || invalid.Field != tc.field {
				t.Errorf("got %v, want a ConfigError of %s", err, tc.field)
			}
		})
	}
}

func TestFinalAnswerComesBeforeDeadline(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	_, actions := h.arrive(classNotIdempotent, 7)
	timer, ok := firstAction[SetTimer](actions)
	if !ok || timer.After >= 4*time.Second {
		t.Fatalf("no timer before the deadline: %v", actions)
	}
	h.now += timer.After
	if actions := h.handle(TimerFired{Token: timer.Token}); !hasAction[FailRequest](actions) {
		t.Errorf("no failure at the deadline: %v", actions)
	}
}

// rejectEverywhere has each of a new request's attempts rejected, of which there must be a number, and returns
// the last actions.
func rejectEverywhere(h *harness, attempts int) []Action {
	h.t.Helper()
	id, actions := h.arrive(classIdempotent, 7)
	for n := range attempts {
		actions = h.fail(id, n, h.sentTo(actions), WorkerOverloaded)
	}
	return actions
}

// A request that no worker can take any more is answered at once, long before its deadline.
func TestHopelessRequestIsAnsweredAtOnce(t *testing.T) {
	t.Run("rejected by all workers", func(t *testing.T) {
		h := newHarness(t, testConfig(), 3)
		if actions := rejectEverywhere(h, 3); !hasAction[RefuseRequest](actions) {
			t.Errorf("not refused: %v", actions)
		}
	})
	t.Run("attempts used up", func(t *testing.T) {
		h := newHarness(t, testConfig(), 9)
		if actions := rejectEverywhere(h, 5); !hasAction[RefuseRequest](actions) {
			t.Errorf("not refused: %v", actions)
		}
	})
	t.Run("dedup window past", func(t *testing.T) {
		h := newHarness(t, testConfig(), 9)
		id, w := h.arriveAndSend(classKeyed, 7)
		h.now += 1200 * ms
		if actions := h.fail(id, 0, w, Errored); !isFinal(actions) {
			t.Errorf("waits: %v", actions)
		}
	})
	t.Run("dedup window past, no worker listed", func(t *testing.T) {
		h := newHarness(t, testConfig(), 1)
		id, w := h.arriveAndSend(classKeyed, 7)
		h.list()
		h.now += 1200 * ms
		if actions := h.fail(id, 0, w, Errored); !isFinal(actions) {
			t.Errorf("waits: %v", actions)
		}
	})
	t.Run("loads paused for longer than the client waits", testPausedLoads)
	t.Run("no worker listed yet", func(t *testing.T) {
		h := newHarness(t, testConfig(), 0)
		id, actions := h.arrive(classIdempotent, 7)
		if isFinal(actions) {
			t.Fatalf("does not wait: %v", actions)
		}
		h.list(Endpoint{Worker: 1, State: Ready})
		h.now += housekeepingInterval
		if s, ok := firstAction[SendAttempt](h.housekeep()); !ok || s.Request != id {
			t.Error("not sent once a worker is listed")
		}
	})
}

func testPausedLoads(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	h.policy.loadBackoff.until = h.now + 1500*ms
	h.list(Endpoint{Worker: 9, State: Ready})
	h.policy.cfg.RouterCount = 1
	actions := h.handle(RequestArrived{Request: 77, Function: 3, LoadTime: time.Second, TimeLeft: 1400 * ms})
	if !isFinal(actions) {
		t.Errorf("waits: %v", actions)
	}
	actions = h.handle(RequestArrived{Request: 78, Function: 3, LoadTime: time.Second, TimeLeft: 4 * time.Second})
	if isFinal(actions) || hasAction[SendAttempt](actions) {
		t.Errorf("does not wait though the pause ends in time: %v", actions)
	}
}

func TestImplausibleValuesDistortNoEstimate(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	h.handle(RequestArrived{
		Request: 99, Function: 7, Concurrency: math.NaN(), MemoryMB: math.Inf(1),
		LoadTime: -time.Hour, WorkHint: math.MaxInt64, TimeLeft: time.Second,
	})
	h.handle(AttemptEnded{
		Request: 99, Worker: 1, Outcome: Served, Duration: -time.Hour, RequestClosed: true,
		LoadReport: []float64{math.NaN()},
	})
	h.handle(LoadCommandEnded{Worker: 77, Function: 5})
	h.handle(HealthCheckEnded{Worker: 77})
	h.handle(AttemptEnded{Request: 5000, Attempt: -3})
	h.handle(RequestArrived{Request: 100, Class: 44, Tenant: -4})
	for range 5 {
		h.serve(7, 100*ms, InstanceWarm)
	}
	for _, w := range h.policy.fleet {
		p := h.policy
		v := w.queue.slope.sumY + float64(p.classes[classIdempotent].runTime.mean) + p.estimates.loadRatio +
			float64(p.estimates.standingDelay)
		if math.IsNaN(v) || math.IsInf(v, 0) {
			t.Errorf("worker %d: an estimate is %v", w.id(), v)
		}
	}
}
