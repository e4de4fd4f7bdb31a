package policy

import (
	"testing"
	"time"
)

// loadCommandConfig has workers that answer a miss and load on command.
func loadCommandConfig() Config {
	cfg := testConfig()
	cfg.MissWhenNotLoaded, cfg.AllowLoadCommands, cfg.InstanceStatusInAnswers = true, true, false
	return cfg
}

func TestRestartForgetsInstances(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	w := h.serve(7, 1100*ms, LoadStarted)
	h.handle(EndpointUpdate{Endpoints: []Endpoint{{Worker: w, State: Ready, StartedAt: h.now}}})
	if h.policy.workers[w].instances[7].warmUntil > h.now {
		t.Error("a restarted worker is still thought warm")
	}
}

func TestMissCommandsOneLoadAndRequestFollows(t *testing.T) {
	h := newHarness(t, loadCommandConfig(), 4)
	id, w := h.arriveAndSend(classIdempotent, 7)
	actions := h.fail(id, 0, w, FunctionNotLoaded)
	command, ok := firstAction[LoadInstance](actions)
	if !ok || command.Worker != w || command.Instances != 1 || hasAction[SendAttempt](actions) {
		t.Fatalf("after a miss: %v", actions)
	}
	h.now += time.Second
	actions = h.handle(LoadCommandEnded{Worker: w, Function: 7, Outcome: Served, Duration: time.Second, Instances: 1})
	if retry, ok := firstAction[SendAttempt](actions); !ok || retry.Worker != w {
		t.Errorf("after the load: %v", actions)
	}
}

func TestLoadCommandsStayWithinBudget(t *testing.T) {
	cfg := loadCommandConfig()
	cfg.LoadCommandWindow, cfg.LoadCommandAllowance, cfg.LoadCommandsPerRequest = 10*time.Second, 2, 0.1
	h := newHarness(t, cfg, 8)
	commands := 0
	for f := FunctionID(1); f <= 9; f++ {
		id, actions := h.arrive(classIdempotent, f)
		send, ok := firstAction[SendAttempt](actions)
		for n := 0; ok; n++ {
			actions = h.fail(id, n, send.Worker, FunctionNotLoaded)
			if hasAction[LoadInstance](actions) {
				commands++
				break
			}
			send, ok = firstAction[SendAttempt](actions)
		}
	}
	if commands != 2 {
		t.Errorf("%d commands, the budget is 2", commands)
	}
}

// While loads fail, a request goes on to a worker that is likely warm; only a retry may begin no load.
func TestLoadBackoffAdmitsLikelyWarmWorkers(t *testing.T) {
	cfg := testConfig()
	cfg.RouterCount = 40
	h := newHarness(t, cfg, 5)
	h.serve(7, 100*ms, InstanceWarm)
	h.policy.loadBackoff = loadBackoff{failures: 1, until: h.now + time.Second}
	id, w := h.arriveAndSend(classIdempotent, 8)
	actions := h.handle(AttemptEnded{Request: id, Worker: w, Outcome: Errored, InstanceStatus: LoadFailed})
	if hasAction[SendAttempt](actions) {
		t.Error("a retry began another load")
	}
}

// A store that has stopped must not be stormed: each failed load would begin another, here and everywhere.
func TestFailingLoadsBeginOneAtATime(t *testing.T) {
	h := newHarness(t, testConfig(), 6)
	begun := 0
	for f := FunctionID(1); f <= 100; f++ { // one new function each 20 ms, 2 s in all
		h.now += 20 * ms
		_, actions := h.arrive(classIdempotent, f)
		if f%3 == 0 {
			actions = append(actions, h.housekeep()...)
		}
		for _, a := range actions {
			if s, ok := a.(SendAttempt); ok {
				begun++
				last := len(h.policy.requests[s.Request].attempts) - 1
				h.handle(AttemptEnded{
					Request: s.Request, Attempt: last, Worker: s.Worker, Outcome: Errored,
					InstanceStatus: LoadFailed,
				})
			}
		}
	}
	if begun < 2 || begun > 12 {
		t.Errorf("%d loads begun in 2 s at a stopped store", begun)
	}
	h.now += 2 * time.Second
	h.housekeep()
	h.policy.waiting = nil
	h.now += 2 * time.Second
	h.serve(500, time.Second, LoadStarted)
	h.serve(501, time.Second, LoadStarted) // one success ends the backoff
	h.serve(502, time.Second, LoadStarted)
}
