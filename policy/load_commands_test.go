package policy

import (
	"testing"
	"time"
)

// loadCommandConfig returns the settings of a policy whose workers answer FunctionNotLoaded if a function is not
// loaded, and load functions on command.
func loadCommandConfig() Config {
	cfg := testConfig()
	cfg.MissWhenNotLoaded, cfg.AllowLoadCommands, cfg.InstanceStatusInAnswers = true, true, false
	return cfg
}

func TestRestartedWorkerHasNoWarmInstance(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	w := h.serve(7, 1100*ms, LoadStarted)
	h.handle(EndpointUpdate{Endpoints: []Endpoint{{Worker: w, State: Ready, StartedAt: h.now}}})
	if h.policy.workers[w].instances[7].warmUntil > h.now {
		t.Errorf("the policy assumes that the function is warm at the restarted worker until %v, want no time after %v",
			h.policy.workers[w].instances[7].warmUntil, h.now)
	}
}

func TestMissCausesOneLoadCommandThenRetry(t *testing.T) {
	h := newHarness(t, loadCommandConfig(), 4)
	id, w := h.arriveAndSend(classIdempotent, 7)
	actions := h.fail(id, 0, w, FunctionNotLoaded)
	command, ok := firstAction[LoadInstance](actions)
	if !ok || command.Worker != w || command.Instances != 1 || hasAction[SendAttempt](actions) {
		t.Fatalf("actions after a miss: %v, want a command to worker %d to load 1 instance, and no attempt", actions, w)
	}
	h.now += time.Second
	actions = h.handle(LoadCommandEnded{Worker: w, Function: 7, Outcome: Served, Duration: time.Second, Instances: 1})
	if retry, ok := firstAction[SendAttempt](actions); !ok || retry.Worker != w {
		t.Errorf("actions after the load: %v, want an attempt at worker %d", actions, w)
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
		for attempt := 0; ok; attempt++ {
			actions = h.fail(id, attempt, send.Worker, FunctionNotLoaded)
			if hasAction[LoadInstance](actions) {
				commands++
				break
			}
			send, ok = firstAction[SendAttempt](actions)
		}
	}
	if commands != 2 {
		t.Errorf("%d load commands sent, want 2, which the budget allows", commands)
	}
}

// While loads fail, the policy may still send a first attempt to a worker at which the function is likely warm, but not
// a retry that would begin a load.
func TestLoadBackoffAdmitsLikelyWarmWorkers(t *testing.T) {
	cfg := testConfig()
	cfg.RouterCount = 40
	h := newHarness(t, cfg, 5)
	h.serve(7, 100*ms, InstanceWarm)
	h.policy.loadBackoff = loadBackoff{failures: 1, until: h.now + time.Second}
	id, w := h.arriveAndSend(classIdempotent, 8)
	actions := h.handle(AttemptEnded{Request: id, Worker: w, Outcome: Errored, InstanceStatus: LoadFailed})
	if hasAction[SendAttempt](actions) {
		t.Errorf("actions after a failed load: %v, want no retry, which would begin another load", actions)
	}
}

// Guards against overload of a failing store that functions are loaded from: without a backoff, each failed load would
// cause another load, at every router.
func TestFailingLoadsBeginOneAtATime(t *testing.T) {
	h := newHarness(t, testConfig(), 6)
	loadsBegun := 0
	for f := FunctionID(1); f <= 100; f++ { // one new function every 20 ms, for 2 s
		h.now += 20 * ms
		_, actions := h.arrive(classIdempotent, f)
		if f%3 == 0 {
			actions = append(actions, h.housekeep()...)
		}
		for _, a := range actions {
			if s, ok := a.(SendAttempt); ok {
				loadsBegun++
				lastAttempt := len(h.policy.requests[s.Request].attempts) - 1
				h.handle(AttemptEnded{
					Request: s.Request, Attempt: lastAttempt, Worker: s.Worker, Outcome: Errored,
					InstanceStatus: LoadFailed,
				})
			}
		}
	}
	if loadsBegun < 2 || loadsBegun > 12 {
		t.Errorf("%d loads begun in 2 s while all loads fail, want 2 to 12", loadsBegun)
	}
	h.now += 2 * time.Second
	h.housekeep()
	h.policy.waiting = waitQueue{}
	h.now += 2 * time.Second
	h.serve(500, time.Second, LoadStarted)
	h.serve(501, time.Second, LoadStarted) // sent at once, because the load of function 500 has ended the backoff
	h.serve(502, time.Second, LoadStarted)
}
