package policy

import (
	"errors"
	"math"
	"testing"
	"time"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	for _, tc := range []struct {
		name, field string
		change      func(*Config)
	}{
		{"no classes", "Classes", func(c *Config) { c.Classes = nil }},
		{"no deadline", "Classes[0].Deadline", func(c *Config) { c.Classes[0].Deadline = 0 }},
		{"capacity above 1", "SlowStartCapacity", func(c *Config) { c.SlowStartCapacity = 1.5 }},
		{"overload multiple not a number", "OverloadMultiple", func(c *Config) { c.OverloadMultiple = math.NaN() }},
		{"negative tick", "Tick", func(c *Config) { c.Tick = -1 }},
		{"infinite load command allowance", "LoadCommandAllowance", func(c *Config) { c.LoadCommandAllowance = math.Inf(1) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := testConfig()
			tc.change(&cfg)
			_, err := New(cfg, 1)
			var configErr *ConfigError
			if !errors.As(err, &configErr) || configErr.Field != tc.field {
				t.Errorf("got error %v, want a ConfigError for field %s", err, tc.field)
			}
		})
	}
}

func TestFinalAnswerComesBeforeDeadline(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	_, actions := h.arrive(classNotIdempotent, 7)
	timer, ok := firstAction[SetTimer](actions)
	if !ok || timer.After >= 4*time.Second {
		t.Fatalf("actions for a new request: %v, want a timer before the deadline in 4 s", actions)
	}
	h.now += timer.After
	if actions := h.handle(TimerFired{Token: timer.Token}); !hasAction[FailRequest](actions) {
		t.Errorf("actions when the deadline timer fired: %v, want a FailRequest", actions)
	}
}

// rejectAttempts passes the policy a new request and rejects the given number of its attempts with WorkerOverloaded. It
// returns the actions after the last rejection.
func rejectAttempts(h *harness, attempts int) []Action {
	h.t.Helper()
	id, actions := h.arrive(classIdempotent, 7)
	for n := range attempts {
		actions = h.fail(id, n, h.sentTo(actions), WorkerOverloaded)
	}
	return actions
}

// Guards against requests that wait until their deadline although no worker may take them before it: the policy must
// answer them at once. In the last subtest no worker is listed, and the request must wait until the endpoint list has
// one. The subtest on paused loads also has a request that must wait, because the pause ends before its deadline.
func TestRequestIsAnsweredAtOnceIfNoWorkerMayTakeIt(t *testing.T) {
	t.Run("rejected by all workers", func(t *testing.T) {
		h := newHarness(t, testConfig(), 3)
		if actions := rejectAttempts(h, 3); !hasAction[RefuseRequest](actions) {
			t.Errorf("actions after all 3 workers have rejected the request: %v, want a RefuseRequest", actions)
		}
	})
	t.Run("all attempts used", func(t *testing.T) {
		h := newHarness(t, testConfig(), 9)
		if actions := rejectAttempts(h, 5); !hasAction[RefuseRequest](actions) {
			t.Errorf("actions after 5 rejected attempts, which MaxAttempts allows: %v, want a RefuseRequest", actions)
		}
	})
	t.Run("dedup window over", func(t *testing.T) {
		h := newHarness(t, testConfig(), 9)
		id, w := h.arriveAndSend(classKeyed, 7)
		h.now += 1200 * ms
		if actions := h.fail(id, 0, w, Errored); !hasFinalAnswer(actions) {
			t.Errorf("actions after an error outside the dedup window: %v, want a final answer", actions)
		}
	})
	t.Run("dedup window over, no worker listed", func(t *testing.T) {
		h := newHarness(t, testConfig(), 1)
		id, w := h.arriveAndSend(classKeyed, 7)
		h.setEndpoints()
		h.now += 1200 * ms
		if actions := h.fail(id, 0, w, Errored); !hasFinalAnswer(actions) {
			t.Errorf("actions after an error outside the dedup window: %v, want a final answer", actions)
		}
	})
	t.Run("loads paused for longer than the client waits", testPausedLoads)
	t.Run("no worker listed yet", func(t *testing.T) {
		h := newHarness(t, testConfig(), 0)
		id, actions := h.arrive(classIdempotent, 7)
		if hasFinalAnswer(actions) {
			t.Fatalf("actions while no worker is listed: %v, want no final answer", actions)
		}
		h.setEndpoints(Endpoint{Worker: 1, State: Ready})
		h.now += housekeepingInterval
		if s, ok := firstAction[SendAttempt](h.housekeep()); !ok || s.Request != id {
			t.Errorf("after a worker was listed: attempt sent: %v, for request %d, want an attempt for request %d", ok, s.Request, id)
		}
	})
}

func testPausedLoads(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	h.policy.loadBackoff.until = h.now + 1500*ms
	h.setEndpoints(Endpoint{Worker: 9, State: Ready})
	h.policy.cfg.RouterCount = 1
	actions := h.handle(RequestArrived{Request: 77, Function: 3, LoadTime: time.Second, TimeLeft: 1400 * ms})
	if !hasFinalAnswer(actions) {
		t.Errorf("actions for a request with less time left than the pause: %v, want a final answer", actions)
	}
	actions = h.handle(RequestArrived{Request: 78, Function: 3, LoadTime: time.Second, TimeLeft: 4 * time.Second})
	if hasFinalAnswer(actions) || hasAction[SendAttempt](actions) {
		t.Errorf("actions for a request with more time left than the pause: %v, want neither a final answer nor an attempt", actions)
	}
}

func TestImplausibleValuesDoNotDistortEstimates(t *testing.T) {
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
		sum := w.queue.slope.sumY + float64(p.classes[classIdempotent].runTime.mean) + p.estimates.loadRatio +
			float64(p.estimates.standingDelay)
		if math.IsNaN(sum) || math.IsInf(sum, 0) {
			t.Errorf("worker %d: the sum of the estimates is %v, want a finite number", w.id(), sum)
		}
	}
}
