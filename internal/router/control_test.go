package router

import (
	"testing"

	"functionrouter/policy"
)

// Checks that an unanswered health check and an unanswered load command end at their timeouts, and that later answers
// are ignored.
func TestUnansweredControlCallsTimeOut(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	r.execute(policy.CheckHealth{Worker: 1})
	r.execute(policy.LoadInstance{Worker: 1, Function: 2, Instances: 1})
	r.Process(testStart)
	r.LoadCommandEnded(2, policy.Served, 1)
	r.HealthCheckEnded(1, policy.Served, nil)
	healthChecks, loadCommands := r.Counters.HealthCheckOutcomes, r.Counters.LoadCommandOutcomes
	if healthChecks[policy.TimedOut] != 1 || loadCommands[policy.TimedOut] != 1 {
		t.Errorf("timeouts are not counted: health checks %v, load commands %v", healthChecks, loadCommands)
	}
	if healthChecks[policy.Served]+loadCommands[policy.Served] != 0 {
		t.Errorf("late answers are counted: health checks %v, load commands %v", healthChecks, loadCommands)
	}
	if len(workers.loadCommands)+len(workers.healthChecks) != 0 {
		t.Error("the worker pool still waits for answers")
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
		t.Errorf("%d control calls pending, want 2; events %v", len(r.controls.byID), r.events.pending)
	}
}
