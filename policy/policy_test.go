package policy

import (
	"math"
	"testing"
	"time"
)

func TestNewRejectsImpossibleSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Config){
		"no classes":     func(c *Config) { c.Classes = nil },
		"no deadline":    func(c *Config) { c.Classes[0].Deadline = 0 },
		"cold share":     func(c *Config) { c.SlowStartCapacity = 1.5 },
		"not a number":   func(c *Config) { c.OverloadMultiple = math.NaN() },
		"negative tick":  func(c *Config) { c.Tick = -1 },
		"infinite loads": func(c *Config) { c.LoadOrderAllowance = math.Inf(1) },
	} {
		c := testConfig()
		spoil(&c)
		if _, err := New(c, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestFinalAnswerBeforeTheClientGivesUp(t *testing.T) {
	b := newHarness(t, testConfig(), 2)
	_, acts := b.arrive(2, 7)
	timer, ok := firstAction[SetTimer](acts)
	if !ok || timer.After >= 4*time.Second {
		t.Fatalf("no timer before the deadline: %v", acts)
	}
	b.now += timer.After
	if acts := b.handle(TimerFired{Token: timer.Token}); !hasAction[FailRequest](acts) {
		t.Errorf("no failure at the deadline: %v", acts)
	}
}

// What no worker can take any more is answered in the same call, long before its deadline, not held.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	final := func(acts []Action) bool { return hasAction[RefuseRequest](acts) || hasAction[FailRequest](acts) }
	t.Run("all turned it away", func(t *testing.T) {
		b := newHarness(t, testConfig(), 3)
		id, acts := b.arrive(0, 7)
		for n := range 3 {
			s, ok := firstAction[SendAttempt](acts)
			if !ok {
				t.Fatalf("attempt %d not sent: %v", n, acts)
			}
			acts = b.handle(AttemptEnded{Request: id, Attempt: n, Worker: s.Worker, Outcome: WorkerOverloaded})
		}
		if !hasAction[RefuseRequest](acts) {
			t.Errorf("not refused: %v", acts)
		}
	})
	t.Run("attempts used up", func(t *testing.T) {
		b := newHarness(t, testConfig(), 9)
		id, acts := b.arrive(0, 7)
		for n := range 5 {
			s, _ := firstAction[SendAttempt](acts)
			acts = b.handle(AttemptEnded{Request: id, Attempt: n, Worker: s.Worker, Outcome: WorkerOverloaded})
		}
		if !hasAction[RefuseRequest](acts) {
			t.Errorf("not refused: %v", acts)
		}
	})
	t.Run("keyed window past", func(t *testing.T) {
		b := newHarness(t, testConfig(), 9)
		id, acts := b.arrive(1, 7)
		s, _ := firstAction[SendAttempt](acts)
		b.now += 1200 * ms
		if acts = b.handle(AttemptEnded{Request: id, Worker: s.Worker, Outcome: Errored}); !final(acts) {
			t.Errorf("held: %v", acts)
		}
	})
	t.Run("keyed window past, no worker listed", func(t *testing.T) {
		b := newHarness(t, testConfig(), 1)
		id, acts := b.arrive(1, 7)
		s, _ := firstAction[SendAttempt](acts)
		b.handle(EndpointUpdate{Kind: FullUpdate})
		b.now += 1200 * ms
		if acts = b.handle(AttemptEnded{Request: id, Worker: s.Worker, Outcome: Errored}); !final(acts) {
			t.Errorf("held: %v", acts)
		}
	})
	t.Run("gate shut for longer than the client waits", func(t *testing.T) {
		b := newHarness(t, testConfig(), 3)
		b.policy.loadBackoff.until = b.now + 1500*ms
		b.handle(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{Worker: 9, State: Ready}}})
		b.policy.cfg.RouterCount = 1
		if acts := b.handle(RequestArrived{Request: 77, Function: 3, LoadTime: time.Second, TimeLeft: 1400 * ms}); !final(acts) {
			t.Errorf("held: %v", acts)
		}
		if acts := b.handle(RequestArrived{Request: 78, Function: 3, LoadTime: time.Second, TimeLeft: 4 * time.Second}); final(acts) || hasAction[SendAttempt](acts) {
			t.Errorf("not held though the gate opens in time: %v", acts)
		}
	})
	t.Run("no worker listed yet", func(t *testing.T) {
		b := newHarness(t, testConfig(), 0)
		id, acts := b.arrive(0, 7)
		if final(acts) {
			t.Fatalf("not held: %v", acts)
		}
		b.handle(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{Worker: 1, State: Ready}}})
		b.now += housekeepingInterval
		if s, ok := firstAction[SendAttempt](b.handle(TimerFired{Token: housekeepingToken})); !ok || s.Request != id {
			t.Error("not sent once a worker is listed")
		}
	})
}

func TestAbsurdFiguresPoisonNothing(t *testing.T) {
	b := newHarness(t, testConfig(), 3)
	id := RequestID(99)
	b.handle(RequestArrived{Request: id, Function: 7, Concurrency: math.NaN(), MemoryMB: math.Inf(1), LoadTime: -time.Hour,
		WorkHint: math.MaxInt64, TimeLeft: time.Second})
	b.handle(AttemptEnded{Request: id, Worker: 1, Outcome: Served, Duration: -time.Hour, LoadReport: []float64{math.NaN()}, RequestClosed: true})
	b.handle(LoadOrderEnded{Worker: 77, Function: 5})
	b.handle(ProbeEnded{Worker: 77})
	b.handle(AttemptEnded{Request: 5000, Attempt: -3})
	b.handle(RequestArrived{Request: 100, Class: 44, Tenant: -4})
	for range 5 {
		b.serveRequest(7, 100*ms, InstanceWarm)
	}
	for _, w := range b.policy.fleet {
		if v := w.queueSlope.numerator + firstClass(b).runTime.mean + b.policy.loadRatio + b.policy.standingDelay; math.IsNaN(v) || math.IsInf(v, 0) {
			t.Errorf("worker %d: an estimate is %v", w.Worker, v)
		}
	}
}
