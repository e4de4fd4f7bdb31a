package policy

import "testing"

func TestDrainingWorkerGetsNothing(t *testing.T) {
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
				t.Errorf("answered with %v", actions)
			}
		})
	}
}

// The rule must hold where actions are emitted, whatever path asks.
func TestEmitForbidsNonIdempotentRepeat(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	id, w := h.arriveAndSend(classNotIdempotent, 7)
	r := h.policy.requests[id]
	r.attemptsInFlight, r.mayHaveRun = 0, r.attempts[0]
	if h.policy.emit(SendAttempt{Request: id, Worker: 3 - w}) {
		t.Error("a repeat of a request that is not idempotent was emitted")
	}
}

func TestNonIdempotentRequestThatNeverRanIsRetried(t *testing.T) {
	h := newHarness(t, testConfig(), 4)
	id, w := h.arriveAndSend(classNotIdempotent, 7)
	retry, ok := firstAction[SendAttempt](h.fail(id, 0, w, WorkerOverloaded))
	if !ok || retry.Worker == w {
		t.Errorf("after an overloaded worker: %v %v", retry, ok)
	}
}

func TestKeyedRequestIsRetriedOnlyInScopeAndWindow(t *testing.T) {
	h := newHarness(t, testConfig(), 0)
	h.list(Endpoint{Worker: 1, State: Ready, Zone: 0}, Endpoint{Worker: 2, State: Ready, Zone: 1},
		Endpoint{Worker: 3, State: Ready, Zone: 1})
	for range 20 {
		id, w := h.arriveAndSend(classKeyed, 7)
		h.now += 10 * ms
		retry, ok := firstAction[SendAttempt](h.fail(id, 0, w, Errored))
		if ok && (retry.Worker == 1) != (w == 1) {
			t.Fatalf("sent to %d, then to %d of another zone", w, retry.Worker)
		}
		id, actions := h.arrive(classKeyed, 8)
		send, _ := firstAction[SendAttempt](actions) // none once the errors have made the class look hopeless
		h.now += 1100 * ms
		actions = h.fail(id, 0, send.Worker, Errored)
		if hasAction[SendAttempt](actions) || hasAction[RefuseRequest](actions) {
			t.Fatal("retried or refused outside the window")
		}
	}
}
