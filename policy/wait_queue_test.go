package policy

import (
	"slices"
	"testing"
	"time"
)

// Guards against requests that are kept until the answer to a load command although their clients have withdrawn them.
func TestWithdrawnRequestsDoNotFillTheWaitForALoad(t *testing.T) {
	cfg := testConfig()
	cfg.MissWhenNotLoaded, cfg.AllowLoadCommands = true, true
	h := newHarness(t, cfg, 1)
	kept, w := h.arriveAndSend(classIdempotent, 7)
	h.fail(kept, 0, w, FunctionNotLoaded)
	for range 1000 {
		h.now += 100 * time.Microsecond
		id, actions := h.arrive(classIdempotent, 7)
		if send, ok := firstAction[SendAttempt](actions); ok {
			h.fail(id, 0, send.Worker, FunctionNotLoaded)
		}
		h.handle(ClientCancelled{Request: id})
	}
	queue := &h.policy.workers[w].instances[7].waiting
	if len(queue.requests) > 3 {
		t.Errorf("%d requests are kept for the load, of which 1 has not ended", len(queue.requests))
	}
	actions := h.handle(LoadCommandEnded{Worker: w, Function: 7, Outcome: Served, Instances: 1})
	if send, ok := firstAction[SendAttempt](actions); !ok || send.Request != kept {
		t.Errorf("actions %v after the load, want request %d to be sent", actions, kept)
	}
}

// Guards against answers that are late because the policy tries to place all waiting requests at once, which takes long in
// a large fleet. Each request must be tried once per housekeeping, in the order in which they began to wait.
func TestManyWaitingRequestsArePlacedInParts(t *testing.T) {
	const workers = 1000
	const requests = 3 * maxCandidatesAtOnce / workers
	h := newHarness(t, testConfig(), 0)
	var endpoints []Endpoint
	for i := range workers {
		endpoints = append(endpoints, Endpoint{Worker: WorkerID(i + 1), State: Draining})
	}
	h.setEndpoints(endpoints...)
	for range requests {
		if id, actions := h.arrive(classIdempotent, 7); len(h.policy.waiting.requests) != int(id) {
			t.Fatalf("request %d does not wait; actions: %v", id, actions)
		}
	}
	for i := range endpoints {
		endpoints[i].State = Ready
	}
	h.setEndpoints(endpoints...)
	var sent []RequestID
	actions := h.housekeep()
	for parts := 1; ; parts++ {
		inPart := 0
		more := false
		for _, action := range actions {
			switch a := action.(type) {
			case SendAttempt:
				sent = append(sent, a.Request)
				inPart++
			case SetTimer:
				more = more || a.Token == placementToken && a.After == testConfig().Tick
			}
		}
		if inPart*workers > maxCandidatesAtOnce {
			t.Errorf("part %d has placed %d requests in a fleet of %d workers, want at most %d", parts, inPart, workers, maxCandidatesAtOnce/workers)
		}
		if !more {
			break
		}
		h.now += testConfig().Tick
		actions = h.handle(TimerFired{Token: placementToken})
	}
	if len(sent) != requests || !slices.IsSorted(sent) {
		t.Errorf("requests %v were placed, want all %d in order", sent, requests)
	}
}
