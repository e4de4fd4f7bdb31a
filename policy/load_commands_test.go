package policy

import (
	"testing"
	"time"
)

// loadCommandConfig returns settings of workers that answer FunctionNotLoaded and load functions on command.
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
		t.Error("the function still counts as warm at a restarted worker")
	}
}

func TestMissCausesOneLoadCommandThenRetry(t *testing.T) {
	h := newHarness(t, loadCommandConfig(), 4)
	id, w := h.arriveAndSend(classIdempotent, 7)
	actions := h.fail(id, 0, w, FunctionNotLoaded)
	command, ok := firstAction[LoadInstance](actions)
	if !ok || command.Worker != w || command.Instances != 1 || hasAction[SendAttempt](actions) {
		t.Fatalf("want one load command and no attempt after a miss: %v", actions)
	}
	h.now += time.Second
	actions = h.handle(LoadCommandEnded{Worker: w, Function: 7, Outcome: Served, Duration: time.Second, Instances: 1})
	if retry, ok := firstAction[SendAttempt](actions); !ok || retry.Worker != w {
		t.Errorf("not sent to worker %d after the load: %v", w, actions)
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
		t.Errorf("%d load commands sent, want the budget of 2", commands)
	}
}

// While loads fail, a first attempt may still go to a worker at which the function is likely warm, but a retry must not
// begin a load.
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

// Guards against overload of a failing store that functions are loaded from: without a backoff, each failed load would
// cause another one, at every router.
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
	h.policy.waiting = nil
	h.now += 2 * time.Second
	h.serve(500, time.Second, LoadStarted)
	h.serve(501, time.Second, LoadStarted) // one successful load has ended the backoff
	h.serve(502, time.Second, LoadStarted)
}
