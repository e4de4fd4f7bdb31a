package policy

import (
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
