package router

import (
	"testing"

	"functionrouter/policy"
)

// Checks that an unanswered health check and an unanswered load command end with TimedOut once their timeouts have
// passed, and that the router ignores answers that arrive afterwards.
func TestUnansweredControlCallsTimeOut(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	r.execute(policy.CheckHealth{Worker: 1})
	r.execute(policy.LoadInstance{Worker: 1, Function: 2, Instances: 1})
	r.Process(testStart)
	r.LoadCommandEnded(2, policy.Served, 1) // control calls get the ids 1, 2, ... in the order in which they are sent
	r.HealthCheckEnded(1, policy.Served, nil)
	healthChecks, loadCommands := r.Counters.HealthCheckOutcomes, r.Counters.LoadCommandOutcomes
	if healthChecks[policy.TimedOut] != 1 || loadCommands[policy.TimedOut] != 1 {
		t.Errorf("%d health checks and %d load commands timed out, want 1 of each",
			healthChecks[policy.TimedOut], loadCommands[policy.TimedOut])
	}
	if healthChecks[policy.Served]+loadCommands[policy.Served] != 0 {
		t.Errorf("late answers were counted as served: %d health checks and %d load commands, want none",
			healthChecks[policy.Served], loadCommands[policy.Served])
	}
	if len(workers.loadCommands)+len(workers.healthChecks) != 0 {
		t.Errorf("the worker pool still waits for the answers to %d load commands and %d health checks, want none",
			len(workers.loadCommands), len(workers.healthChecks))
	}
}

// Checks that LoadCommandEnded ignores the id of a health check, and HealthCheckEnded that of a load command.
func TestControlAnswerOfWrongKindIsIgnored(t *testing.T) {
	r, _ := newTestRouter(t, 1)
	check := r.controls.add(controlCall{kind: healthCheck, worker: 1})
	command := r.controls.add(controlCall{kind: loadCommand, worker: 1})
	r.LoadCommandEnded(check, policy.Served, 1)
	r.HealthCheckEnded(command, policy.Served, nil)
	if len(r.controls.byID) != 2 || !r.events.empty() {
		t.Errorf("%d control calls pending, want 2; events %v, want none", len(r.controls.byID), r.events.pending)
	}
}
