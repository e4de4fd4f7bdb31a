package policy

import (
	"testing"
	"time"
)

// Guards against memory that grows until the process is killed: clients may name any number of functions, and each was
// kept for two minutes or, at the workers, for as long as the client said that a load takes.
func TestFunctionsThatClientsMakeUpAreBounded(t *testing.T) {
	cfg := testConfig()
	cfg.MaxFunctionEntries = 400
	h := newHarness(t, cfg, 10)
	const known = 7
	h.serve(known, 10*ms, InstanceWarm)
	for f := range FunctionID(20_000) {
		h.now += 100 * time.Microsecond
		id, actions := h.arrive(classNotIdempotent, 1000+f)
		if send, ok := firstAction[SendAttempt](actions); ok {
			h.fail(id, 0, send.Worker, Errored)
		}
		if state := h.policy.State(); state.Functions+state.Instances > cfg.MaxFunctionEntries+10 {
			t.Fatalf("after %d functions the state is %+v, want at most %d functions and instances", f+1, state, cfg.MaxFunctionEntries)
		}
	}
	if f := h.policy.functions[known]; f == nil || !f.served {
		t.Error("the function that a worker has served was evicted in favor of functions that no worker knows")
	}
}

// Guards against an eviction that ends the account of what is in flight: an attempt and a load command of a function that
// has been evicted must still end, and a request that waits for the load must be sent.
func TestEvictedFunctionsAreServedToTheEnd(t *testing.T) {
	cfg := testConfig()
	cfg.MaxFunctionEntries = 1
	cfg.MissWhenNotLoaded, cfg.AllowLoadCommands = true, true
	h := newHarness(t, cfg, 1)
	waiting, w := h.arriveAndSend(classIdempotent, 7)
	h.fail(waiting, 0, w, FunctionNotLoaded) // the request now waits for a load
	inFlight, _ := h.arriveAndSend(classIdempotent, 8)
	for f := range FunctionID(10) {
		h.arrive(classIdempotent, 100+f)
	}
	if h.policy.functions[7] != nil || h.policy.functions[8] != nil {
		t.Fatal("the functions were not evicted")
	}
	h.answer(inFlight, w, InstanceWarm, 10*ms)
	actions := h.handle(LoadCommandEnded{Worker: w, Function: 7, Outcome: Served, Instances: 1})
	if !hasAction[SendAttempt](actions) {
		t.Errorf("actions %v after the load, want the waiting request to be sent", actions)
	}
	if got := h.policy.State(); got.LoadCommands != 0 {
		t.Errorf("state %+v, want no load command", got)
	}
}
