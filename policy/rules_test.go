package policy

import "testing"

func TestDrainingWorkerGetsNoRequest(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	h.handle(EndpointUpdate{Endpoints: []Endpoint{{Worker: 1, State: Draining}}})
	if _, actions := h.arrive(classIdempotent, 7); hasAction[SendAttempt](actions) {
		t.Error("sent to a draining worker")
	}
}

func TestNonIdempotentRequestThatMayHaveRunFails(t *testing.T) {
	for _, o := range []Outcome{Errored, TimedOut, ConnectionReset, Cancelled} {
		t.Run(o.String(), func(t *testing.T) {
			h := newHarness(t, testConfig(), 4)
			id, w := h.arriveAndSend(classNotIdempotent, 7)
			actions := h.fail(id, 0, w, o)
			if hasAction[SendAttempt](actions) || hasAction[RefuseRequest](actions) || !hasAction[FailRequest](actions) {
				t.Errorf("want a FailRequest and no attempt or refusal: %v", actions)
			}
		})
	}
}

// emit must enforce the rule itself, whichever part of the policy calls it.
func TestEmitForbidsNonIdempotentRepeat(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	id, w := h.arriveAndSend(classNotIdempotent, 7)
	r := h.policy.requests[id]
	r.attemptsInFlight, r.mayHaveRun = 0, r.attempts[0]
	if h.policy.emit(SendAttempt{Request: id, Worker: 3 - w}) { // 3 - w is the other worker
		t.Error("a repeat of a request that is not idempotent was emitted")
	}
}

func TestNonIdempotentRequestThatNeverRanIsRetried(t *testing.T) {
	h := newHarness(t, testConfig(), 4)
	id, w := h.arriveAndSend(classNotIdempotent, 7)
	retry, ok := firstAction[SendAttempt](h.fail(id, 0, w, WorkerOverloaded))
	if !ok || retry.Worker == w {
		t.Errorf("not retried at another worker after WorkerOverloaded: %v, sent: %v", retry, ok)
	}
}

func TestKeyedRequestIsRetriedOnlyInScopeAndWindow(t *testing.T) {
	h := newHarness(t, testConfig(), 0)
	h.setEndpoints(Endpoint{Worker: 1, State: Ready, Zone: 0}, Endpoint{Worker: 2, State: Ready, Zone: 1},
		Endpoint{Worker: 3, State: Ready, Zone: 1})
	for range 20 {
		id, w := h.arriveAndSend(classKeyed, 7)
		h.now += 10 * ms
		retry, ok := firstAction[SendAttempt](h.fail(id, 0, w, Errored))
		if ok && (retry.Worker == 1) != (w == 1) {
			t.Fatalf("sent to worker %d, then to worker %d of another zone", w, retry.Worker)
		}
		id, actions := h.arrive(classKeyed, 8)
		send, _ := firstAction[SendAttempt](actions) // none after errors have raised the predicted latency too far
		h.now += 1100 * ms
		actions = h.fail(id, 0, send.Worker, Errored)
		if hasAction[SendAttempt](actions) || hasAction[RefuseRequest](actions) {
			t.Fatal("retried or refused after the dedup window")
		}
	}
}
