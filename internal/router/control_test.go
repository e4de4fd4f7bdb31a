package router

import (
	"testing"

	"functionrouter/policy"
)

// Guards the timeouts of health checks and load commands: an unanswered one ends, and a later answer is ignored.
func TestUnansweredControlCallsTimeOut(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	r.execute(policy.CheckHealth{Worker: 1})
	r.execute(policy.LoadInstance{Worker: 1, Function: 2, Instances: 1})
	r.Process(testStart)
	r.LoadCommandEnded(2, policy.Served, 1)
	r.HealthCheckEnded(1, policy.Served, nil)
	healthChecks, loadCommands := r.Counters.HealthCheckOutcomes, r.Counters.LoadCommandOutcomes
	if healthChecks[policy.TimedOut] != 1 || loadCommands[policy.TimedOut] != 1 {
		t.Errorf("timeouts are not counted: healthChecks %v, load commands %v", healthChecks, loadCommands)
	}
	if healthChecks[policy.Served]+loadCommands[policy.Served] != 0 {
		t.Errorf("late answers are counted: healthChecks %v, load commands %v", healthChecks, loadCommands)
	}
	if len(workers.loadCommands)+len(workers.healthChecks) != 0 {
		t.Error("the worker pool still waits for answers")
	}
}

// Guards the ids: the answer to a load command does not end a health check, nor the reverse.
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
