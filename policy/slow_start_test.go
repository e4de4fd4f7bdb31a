package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// sendsToFirstWorker brings a request and counts its sends to worker 1, where each attempt errs.
func sendsToFirstWorker(h *harness, f FunctionID) (sent int) {
	id, actions := h.arrive(classIdempotent, f)
	send, ok := firstAction[SendAttempt](actions)
	for attempt := 0; ok; attempt++ {
		if send.Worker == 1 {
			sent++
		}
		send, ok = firstAction[SendAttempt](h.fail(id, attempt, send.Worker, Errored))
	}
	return sent
}

// In overload, what workers reject must not count as what they can take.
func TestWarmingWorkerStaysWithinBudget(t *testing.T) {
	h := newHarness(t, testConfig(), 5)
	for range 200 { // 10 a second over 5 workers
		h.serve(FunctionID(h.now%50), 100*ms, InstanceWarm)
		if h.now%time.Second < 100*ms {
			h.housekeep()
		}
	}
	h.handle(EndpointUpdate{Endpoints: []Endpoint{{Worker: 1, State: Ready, StartedAt: h.now}}})
	sent := 0
	for f := FunctionID(1000); f < 1400; f++ {
		sent += sendsToFirstWorker(h, f)
	}
	// A share of 0.2 at a multiple of 2 allows 0.4 of the mean: 2.4 of 6 in the 3 s window.
	if sent < 1 || sent > 3 {
		t.Errorf("%d sends to a warming worker at once", sent)
	}
}

// Of many routers, which do not see each other's requests, each may send a worker that just started only part
// of a request.
func TestManyRoutersTogetherSpareWarmingWorker(t *testing.T) {
	const routers, workers, requests = 100, 10, 30 // requests of each router in 10 s
	cfg := testConfig()
	cfg.RouterCount = routers
	sent := 0
	for n := range routers {
		h := newHarness(t, cfg, workers)
		h.policy.rng = rand.New(rand.NewPCG(uint64(n), 1))
		for k := range requests {
			h.serve(FunctionID(k), 300*ms, InstanceWarm)
			h.now += 33 * ms
		}
		h.handle(EndpointUpdate{Endpoints: []Endpoint{{Worker: 1, State: Ready, StartedAt: h.now}}})
		for f := FunctionID(1000); f < 1009; f++ { // 3 s of requests for functions that are loaded nowhere
			h.now += 333 * ms
			sent += sendsToFirstWorker(h, f)
		}
	}
	// A worker serves 30 requests a second. At 0.2 to 0.44 of its capacity and a multiple of 2, 3 s allow 36 to 79.
	if sent < 8 || sent > 60 {
		t.Errorf("%d sends to a warming worker within 3 s by all together", sent)
	}
}
