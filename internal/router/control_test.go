package router

import (
	"testing"

	"functionrouter/policy"
)

// Guards the timeouts of probes and load orders: what nobody answers ends, and a later answer is ignored.
func TestUnansweredControlRequestsTimeOut(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	r.execute(policy.ProbeWorker{Worker: 1})
	r.execute(policy.LoadInstance{Worker: 1, Function: 2, Instances: 1})
	r.Process(testStart)
	r.LoadOrderEnded(2, policy.Served, 1)
	r.ProbeEnded(1, policy.Served, nil)
	probes, loadOrders := r.Counters.ProbeOutcomes, r.Counters.LoadOrderOutcomes
	if probes[policy.TimedOut] != 1 || loadOrders[policy.TimedOut] != 1 {
		t.Errorf("timeouts are not counted: probes %v, load orders %v", probes, loadOrders)
	}
	if probes[policy.Served]+loadOrders[policy.Served] != 0 {
		t.Errorf("late answers are counted: probes %v, load orders %v", probes, loadOrders)
	}
	if len(workers.loadOrders)+len(workers.probes) != 0 {
		t.Error("the worker pool still waits for answers")
	}
}

// Guards the tags: the answer to a load order does not end a probe, nor the reverse.
func TestControlAnswerOfTheOtherKindIsIgnored(t *testing.T) {
	r, _ := newTestRouter(t, 1)
	probe := r.controls.add(pendingControl{kind: healthProbe, worker: 1})
	order := r.controls.add(pendingControl{kind: loadOrder, worker: 1})
	r.LoadOrderEnded(probe, policy.Served, 1)
	r.ProbeEnded(order, policy.Served, nil)
	if len(r.controls.byTag) != 2 || !r.events.empty() {
		t.Errorf("%d control requests pending, want 2; events %v", len(r.controls.byTag), r.events.pending)
	}
}
