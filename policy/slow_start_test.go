package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// sendsToFirstWorker passes the policy a request, ends each attempt of the request with Errored, and returns the number
// of attempts at worker 1.
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

// Guards against too many requests to a worker that has just started: the limit of the worker must follow from the work
// that workers have served, and requests that end with an error must not raise it.
func TestWarmingWorkerStaysWithinSlowStartLimit(t *testing.T) {
	h := newHarness(t, testConfig(), 5)
	for range 200 { // 10 requests per second over 5 workers
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
	// A capacity of 0.2 and an overload multiple of 2 allow 0.4 of a worker's mean work: 2.4 of 6 requests in the
	// window of 3 s. The router uses slowStartMargin of this limit.
	if sent < 1 || sent > 3 {
		t.Errorf("the router sent %d attempts to a warming worker, want 1 to 3", sent)
	}
}

// Guards against overload of a worker that has just started if many routers send to it. The routers do not see each
// other's requests, and the limit of each router is less than one request.
func TestManyRoutersTogetherDoNotOverloadWarmingWorker(t *testing.T) {
	const routers, workers, requests = 100, 10, 30 // each router passes this number of requests in 10 s
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
		for f := FunctionID(1000); f < 1009; f++ { // 3 s of requests for functions that no worker has loaded
			h.now += 333 * ms
			sent += sendsToFirstWorker(h, f)
		}
	}
	// A worker serves 30 requests per second. With 0.2 to 0.44 of its capacity and an overload multiple of 2, it may
	// get 36 to 79 requests in 3 s.
	if sent < 8 || sent > 60 {
		t.Errorf("all routers together sent %d attempts to a warming worker within 3 s, want 8 to 60", sent)
	}
}

// Guards against the sends of a slow start that stay in memory, with their requests, when the worker is warm.
func TestSendsOfASlowStartAreForgotten(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	for f := range FunctionID(50) {
		h.serve(f, 10*ms, InstanceWarm)
	}
	h.setEndpoints(Endpoint{Worker: 3, State: Ready, StartedAt: h.now - time.Second})
	h.arrive(classIdempotent, 1)
	for range 20 * 60 {
		h.now += housekeepingInterval
		h.housekeep()
	}
	if sends := h.policy.workers[3].slowStart.recentSends; len(sends) != 0 {
		t.Errorf("%d sends are kept after the slow start, want 0", len(sends))
	}
}
