package policy

import (
	"testing"
	"time"
)

func TestDrainingWorkerGetsNoRequest(t *testing.T) {
	h := newHarness(t, testConfig(), 1)
	h.handle(EndpointUpdate{Endpoints: []Endpoint{{Worker: 1, State: Draining}}})
	if _, actions := h.arrive(classIdempotent, 7); hasAction[SendAttempt](actions) {
		t.Errorf("actions for a request while the only worker is draining: %v, want no attempt", actions)
	}
}

func TestNonIdempotentRequestThatMayHaveRunFails(t *testing.T) {
	for _, o := range []Outcome{Errored, TimedOut, ConnectionReset, Cancelled} {
		t.Run(o.String(), func(t *testing.T) {
			h := newHarness(t, testConfig(), 4)
			id, w := h.arriveAndSend(classNotIdempotent, 7)
			actions := h.fail(id, 0, w, o)
			if hasAction[SendAttempt](actions) || hasAction[RefuseRequest](actions) || !hasAction[FailRequest](actions) {
				t.Errorf("actions after %v: %v, want a FailRequest and neither an attempt nor a refusal", o, actions)
			}
		})
	}
}

// emit must drop an attempt that repeats a non-idempotent request which may have run, even if its caller has not
// checked the rules.
func TestEmitForbidsNonIdempotentRepeat(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	id, w := h.arriveAndSend(classNotIdempotent, 7)
	r := h.policy.requests[id]
	r.attemptsInFlight, r.mayHaveRun = 0, r.attempts[0]
	if h.policy.emit(SendAttempt{Request: id, Worker: 3 - w}) { // 3 - w is the other worker
		t.Error("emit accepted a repeat of a non-idempotent request that may have run, want it to drop the action")
	}
}

func TestNonIdempotentRequestThatNeverRanIsRetried(t *testing.T) {
	h := newHarness(t, testConfig(), 4)
	id, w := h.arriveAndSend(classNotIdempotent, 7)
	retry, ok := firstAction[SendAttempt](h.fail(id, 0, w, WorkerOverloaded))
	if !ok || retry.Worker == w {
		t.Errorf("after WorkerOverloaded at worker %d: retry sent: %v, to worker %d, want a retry at another worker", w, ok, retry.Worker)
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
			t.Fatalf("sent to worker %d, then to worker %d of another zone, want a retry in the same zone or none", w, retry.Worker)
		}
		id, actions := h.arrive(classKeyed, 8)
		// If errors have raised the predicted latency too far, the policy sends no attempt and send is the zero value.
		send, _ := firstAction[SendAttempt](actions)
		h.now += 1100 * ms
		actions = h.fail(id, 0, send.Worker, Errored)
		if hasAction[SendAttempt](actions) || hasAction[RefuseRequest](actions) {
			t.Fatalf("actions after an error outside the dedup window: %v, want neither an attempt nor a refusal", actions)
		}
	}
}

// Guards against a repeat that its worker does not recognize because it was sent late: the action says within which time a
// repeat with an idempotency key must be sent. Other attempts have no such limit.
func TestRepeatMustBeSentWithinTheDedupWindow(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	const age = 300 * ms
	for class, want := range map[int]time.Duration{
		classIdempotent: 0,
		classKeyed:      time.Second - testConfig().Tick - age, // of the window of a second
	} {
		id, actions := h.arrive(class, 7)
		first, _ := firstAction[SendAttempt](actions)
		h.now += age
		second, sent := firstAction[SendAttempt](h.fail(id, 0, first.Worker, Errored))
		if !sent || first.SendWithin != 0 || second.SendWithin != want {
			t.Errorf("class %d: first attempt %+v, want no limit; second (sent: %v) %+v, want the limit %v",
				class, first, sent, second, want)
		}
	}
}

// Guards against requests that run twice because their id comes again after an earlier request with it has ended: the new
// request is a repeat, which its class may allow nowhere, only at some workers, or only for some time.
func TestRequestWithAnEarlierRunIsARepeat(t *testing.T) {
	const window = time.Second // of classKeyed
	for _, test := range []struct {
		name       string
		class      int
		earlierAt  WorkerID
		age        time.Duration
		wantWorker WorkerID // 0: no attempt
		wantReason UnservedReason
	}{
		{"not idempotent", classNotIdempotent, 1, ms, 0, RepeatNotAllowed},
		{"keyed, in zone and window", classKeyed, 1, ms, 1, 0},
		{"keyed, at a worker of another zone", classKeyed, 2, ms, 2, 0},
		{"keyed, after the window", classKeyed, 1, window, 0, RepeatNotAllowed},
		{"keyed, at a worker that is not listed any more", classKeyed, 9, ms, 0, NoWorkerAvailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, testConfig(), 0)
			h.setEndpoints(Endpoint{Worker: 1, State: Ready, Zone: 0}, Endpoint{Worker: 2, State: Ready, Zone: 1})
			actions := h.handle(RequestArrived{
				Request: 1, Class: test.class, Function: 7, Concurrency: 4, TimeLeft: 4 * time.Second,
				EarlierRun: &EarlierRun{Worker: test.earlierAt, SentAt: h.now - test.age},
			})
			send, sent := firstAction[SendAttempt](actions)
			if sent != (test.wantWorker != 0) || send.Worker != test.wantWorker {
				t.Errorf("an attempt was sent: %v, to worker %d; want worker %d (0: none)", sent, send.Worker, test.wantWorker)
			}
			if sent {
				return
			}
			failure, failed := firstAction[FailRequest](actions)
			if !failed || failure.Reason != test.wantReason || hasAction[RefuseRequest](actions) {
				t.Errorf("actions %v, want a FailRequest because of %v and no refusal", actions, test.wantReason)
			}
			if requests := h.policy.State().Requests; requests != 0 {
				t.Errorf("the policy keeps %d requests, want 0", requests)
			}
		})
	}
}
