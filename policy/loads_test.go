package policy

import (
	"testing"
	"time"
)

func TestRestartEndsWarmBelief(t *testing.T) {
	b := newHarness(t, testConfig(), 3)
	w := b.serveRequest(7, 1100*ms, LoadStarted)
	b.handle(EndpointUpdate{Endpoints: []Endpoint{{Worker: w, State: Ready, StartedAt: b.now}}})
	if b.policy.workers[w].instances[7].warmUntil > b.now {
		t.Error("a restarted worker is still thought warm")
	}
}

func TestMissOrdersOneLoadAndTheRequestFollows(t *testing.T) {
	cfg := testConfig()
	cfg.MissWhenNotLoaded, cfg.AllowLoadOrders, cfg.InstanceStatusInAnswers = true, true, false
	b := newHarness(t, cfg, 4)
	id, acts := b.arrive(0, 7)
	s, _ := firstAction[SendAttempt](acts)
	acts = b.handle(AttemptEnded{Request: id, Worker: s.Worker, Outcome: FunctionNotLoaded})
	if o, ok := firstAction[LoadInstance](acts); !ok || o.Worker != s.Worker || o.Instances != 1 || hasAction[SendAttempt](acts) {
		t.Fatalf("after a miss: %v", acts)
	}
	b.now += time.Second
	acts = b.handle(LoadOrderEnded{Worker: s.Worker, Function: 7, Outcome: Served, Duration: time.Second, Instances: 1})
	if again, ok := firstAction[SendAttempt](acts); !ok || again.Worker != s.Worker {
		t.Errorf("after the load: %v", acts)
	}
}

func TestLoadOrdersAreRationed(t *testing.T) {
	cfg := testConfig()
	cfg.MissWhenNotLoaded, cfg.AllowLoadOrders, cfg.InstanceStatusInAnswers = true, true, false
	cfg.LoadOrderWindow, cfg.LoadOrderAllowance, cfg.LoadOrdersPerRequest = 10*time.Second, 2, 0.1
	b := newHarness(t, cfg, 8)
	orders := 0
	for f := FunctionID(1); f <= 9; f++ {
		id, acts := b.arrive(0, f)
		s, ok := firstAction[SendAttempt](acts)
		for n := 0; ok; n++ {
			acts = b.handle(AttemptEnded{Request: id, Attempt: n, Worker: s.Worker, Outcome: FunctionNotLoaded})
			if hasAction[LoadInstance](acts) {
				orders++
				break
			}
			s, ok = firstAction[SendAttempt](acts)
		}
	}
	if orders != 2 {
		t.Errorf("%d orders, the ration is 2", orders)
	}
}

// While loads fail, what most likely stands at its home is served; only a further attempt may begin no load.
func TestGateLetsLikelyWarmHomesPass(t *testing.T) {
	cfg := testConfig()
	cfg.RouterCount = 40
	b := newHarness(t, cfg, 5)
	b.serveRequest(7, 100*ms, InstanceWarm)
	b.policy.loadBackoff.failures, b.policy.loadBackoff.until = 1, b.now+time.Second
	id, acts := b.arrive(0, 8)
	s, ok := firstAction[SendAttempt](acts)
	if !ok {
		t.Fatalf("a call to a likely warm home is held: %v", acts)
	}
	if acts := b.handle(AttemptEnded{Request: id, Worker: s.Worker, Outcome: Errored, InstanceStatus: LoadFailed}); hasAction[SendAttempt](acts) {
		t.Error("a further attempt began another load")
	}
}

// A store that has stopped must not be stormed: each failed load would begin another, here and everywhere.
func TestFailingLoadsBeginOneAtATime(t *testing.T) {
	b := newHarness(t, testConfig(), 6)
	begun := 0
	for f := FunctionID(1); f <= 100; f++ { // one new function each 20 ms, 2 s in all
		b.now += 20 * ms
		_, acts := b.arrive(0, f)
		if f%3 == 0 {
			acts = append(acts, b.handle(TimerFired{Token: housekeepingToken})...)
		}
		for _, a := range acts {
			if s, ok := a.(SendAttempt); ok {
				begun++
				n := len(b.policy.requests[s.Request].attempts) - 1
				b.handle(AttemptEnded{Request: s.Request, Attempt: n, Worker: s.Worker, Outcome: Errored, InstanceStatus: LoadFailed})
			}
		}
	}
	if begun < 2 || begun > 12 {
		t.Errorf("%d loads begun in 2 s at a stopped store", begun)
	}
	b.now += 2 * time.Second
	b.handle(TimerFired{Token: housekeepingToken})
	b.policy.waiting = nil
	b.now += 2 * time.Second
	b.serveRequest(500, time.Second, LoadStarted)
	b.serveRequest(501, time.Second, LoadStarted) // one success opens the gate
	b.serveRequest(502, time.Second, LoadStarted)
}
