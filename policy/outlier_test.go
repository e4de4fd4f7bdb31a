package policy

import (
	"testing"
	"time"
)

// sendToWarmWorker passes the policy a new request for function 7 and returns the request's id. It fails the test if
// the policy does not send the request to the worker warm, which has the function loaded.
func (h *harness) sendToWarmWorker(class int, warm WorkerID) RequestID {
	h.t.Helper()
	id, w := h.arriveAndSend(class, 7)
	if w != warm {
		h.t.Fatalf("the function is warm at worker %d, but the request was sent to worker %d", warm, w)
	}
	return id
}

// resetConnection ends a request's first attempt with a ConnectionReset after 10 ms.
func (h *harness) resetConnection(id RequestID, w WorkerID) []Action {
	return h.handle(AttemptEnded{Request: id, Worker: w, Outcome: ConnectionReset, Duration: 10 * ms})
}

// Guards against a needless load after each connection reset: the policy must retry the request once at the same
// worker, which has the function loaded, over another connection. If the retry fails too, the policy must send the
// request to another worker.
func TestConnectionResetIsRetriedAtWarmWorker(t *testing.T) {
	for _, secondOutcome := range []Outcome{ConnectionReset, Unreachable} {
		t.Run(secondOutcome.String(), func(t *testing.T) {
			h := newHarness(t, testConfig(), 3)
			w := h.serve(7, 1100*ms, LoadStarted)
			for range 20 {
				h.serve(7, 80*ms, InstanceWarm)
			}
			firstID, _ := h.arrive(classIdempotent, 7) // this attempt uses the same connection as the next one
			id := h.sendToWarmWorker(classIdempotent, w)
			h.now += 10 * ms
			firstActions := h.resetConnection(firstID, w)
			unserved := &h.policy.workers[w].health.unserved[classIdempotent]
			countBefore := unserved.weight
			actions := h.resetConnection(id, w)
			if retry, ok := firstAction[SendAttempt](actions); !ok || retry.Worker != w {
				t.Fatalf("actions after the first reset of request %d: %v, want a retry at worker %d", id, actions, w)
			}
			if !hasAction[CheckHealth](firstActions) || hasAction[CheckHealth](actions) {
				t.Fatalf("actions after two resets of one connection: %v, then %v, want a health check after the first reset only",
					firstActions, actions)
			}
			if unserved.weight != countBefore {
				t.Errorf("the second reset of one connection changed the failure count from %.2f to %.2f, want no change",
					countBefore, unserved.weight)
			}
			actions = h.fail(id, 1, w, secondOutcome)
			if retry, ok := firstAction[SendAttempt](actions); !ok || retry.Worker == w {
				t.Errorf("actions after the second attempt: %v, want a retry at another worker than %d", actions, w)
			}
		})
	}
}

// Guards against the ejection of a healthy worker if the settings do not allow health checks: the policy must take the
// resets of several attempts at the same time for one broken connection, count one failure and not eject the worker. An
// attempt that ends with Unreachable must eject the worker.
func TestConnectionResetCountsOnceWithoutHealthChecks(t *testing.T) {
	cfg := testConfig()
	cfg.AllowHealthChecks = false
	h := newHarness(t, cfg, 3)
	warm := h.serve(7, 80*ms, InstanceWarm)
	var ids []RequestID
	for range 4 {
		ids = append(ids, h.sendToWarmWorker(classNotIdempotent, warm))
	}
	h.now += 10 * ms
	w := h.policy.workers[warm]
	countBefore := w.health.unserved[classNotIdempotent].weight
	for _, id := range ids[1:] {
		h.resetConnection(id, warm)
	}
	if n := w.health.unserved[classNotIdempotent].weight; n > countBefore+1 {
		t.Errorf("one broken connection added %.1f failures, want at most 1", n-countBefore)
	}
	if h.policy.isEjected(w) {
		t.Error("the worker is ejected after a connection reset, want it not to be ejected")
	}
	if h.fail(ids[0], 0, warm, Unreachable); !h.policy.isEjected(w) {
		t.Error("the worker is not ejected although it is unreachable")
	}
}

// Guards against the ejection of a healthy worker after a load command whose connection broke: the policy must send a
// health check, which shows whether the worker has failed. Before the result, the worker must not be ejected, and the
// policy may send it the request that waited for the load. If the load command ends with Unreachable, the worker must
// be ejected, and the request must go to another worker.
func TestConnectionResetOfLoadCommandEjectsNoWorker(t *testing.T) {
	for _, tc := range []struct {
		outcome                      Outcome
		wantEjected, wantHealthCheck bool
	}{
		{outcome: ConnectionReset, wantHealthCheck: true},
		{outcome: Unreachable, wantEjected: true},
	} {
		t.Run(tc.outcome.String(), func(t *testing.T) {
			cfg := testConfig()
			cfg.MissWhenNotLoaded, cfg.AllowLoadCommands = true, true
			h := newHarness(t, cfg, 3)
			id, w := h.arriveAndSend(classIdempotent, 7)
			if actions := h.fail(id, 0, w, FunctionNotLoaded); !hasAction[LoadInstance](actions) {
				t.Fatalf("actions after a miss: %v, want a load command", actions)
			}
			actions := h.handle(LoadCommandEnded{Worker: w, Function: 7, Outcome: tc.outcome})
			if ejected := h.policy.isEjected(h.policy.workers[w]); ejected != tc.wantEjected {
				t.Errorf("ejected: %v, want %v", ejected, tc.wantEjected)
			}
			if hasAction[CheckHealth](actions) != tc.wantHealthCheck {
				t.Errorf("health check sent: %v, want %v", !tc.wantHealthCheck, tc.wantHealthCheck)
			}
			if next := h.sentTo(actions); tc.wantEjected && next == w {
				t.Errorf("the request was sent to worker %d, which is ejected", next)
			}
		})
	}
}

// Guards against the ejection of workers after a pause of the router's process, in which timers fire late and all
// answers arrive at the same time. A request whose final answer is due must be answered when its timer fires, and later
// requests must still go to the warm worker.
func TestStalledRouterEjectsNoWorker(t *testing.T) {
	h := newHarness(t, testConfig(), 4)
	for range 8 {
		h.serve(7, 100*ms, InstanceWarm)
	}
	id, warm := h.arriveAndSend(classIdempotent, 7)
	dueID, _ := h.arrive(classNotIdempotent, 7)
	h.now += 3999 * ms // the final answer of dueID is due, and its worker has not answered
	healthChecks := 0
	for _, a := range h.housekeep() {
		if _, ok := a.(CheckHealth); ok {
			healthChecks++
		}
	}
	if healthChecks > 4 {
		t.Errorf("%d health checks of 4 workers in one run of the housekeeping, want at most 4", healthChecks)
	}
	if actions := h.handle(TimerFired{Token: timer{kind: deadlineTimer, request: dueID}.token()}); !hasAction[FailRequest](actions) {
		t.Errorf("actions when the final answer of a request that may have run was due: %v, want a FailRequest", actions)
	}
	h.answer(id, warm, InstanceWarm, 100*ms)
	for _, w := range h.policy.fleet {
		if w.health.checkPending {
			h.handle(HealthCheckEnded{Worker: w.id(), Duration: 2 * ms})
		}
		if h.policy.isEjected(w) {
			t.Errorf("worker %d is ejected, want no ejected worker", w.id())
		}
	}
	if got := h.serve(7, 100*ms, InstanceWarm); got != warm {
		t.Errorf("the function is warm at worker %d, but the request was sent to worker %d", warm, got)
	}
}

// One worker fails the requests of one class and serves the requests of all other classes. The policy must not send it
// requests of the failing class, but must still send it the requests of other classes. 30 s later, the policy must
// prefer this worker again for requests of the failing class, because it has the instance.
func TestFailuresOfOneClassMoveOnlyThatClass(t *testing.T) {
	h := newHarness(t, testConfig(), 5)
	warm := h.serve(7, 1100*ms, LoadStarted)
	for range 2 {
		id, w := h.arriveAndSend(classKeyed, 7)
		h.handle(AttemptEnded{Request: id, Worker: w, Outcome: Errored, Duration: 5 * ms})
		h.handle(ClientCancelled{Request: id})
	}
	_, actions := h.arrive(classKeyed, 7)
	if s, ok := firstAction[SendAttempt](actions); ok && s.Worker == warm {
		t.Errorf("a request of the failing class was sent to worker %d, which fails this class", warm)
	}
	if got := h.serve(7, 80*ms, InstanceWarm); got != warm {
		t.Errorf("a request of the class that is served was sent to worker %d, want %d", got, warm)
	}
	h.now += 30 * time.Second
	h.policy.workers[warm].instance(7).warmUntil = h.now + time.Minute
	for id, w := range h.policy.workers {
		if id != warm {
			delete(w.instances, 7)
		}
	}
	_, actions = h.arrive(classKeyed, 7)
	if s, ok := firstAction[SendAttempt](actions); ok && s.Worker != warm {
		t.Errorf("30 s later, a request of the failing class was sent to worker %d, want worker %d, which has the instance",
			s.Worker, warm)
	}
}

// Guards against a wrong estimate of the requests that workers leave unserved: a client may request functions that do
// not exist, and each worker that the policy tries answers with an error. The policy must not record these errors as
// unserved requests.
func TestErrorsOfUnknownFunctionsDoNotCountAsUnserved(t *testing.T) {
	h := newHarness(t, testConfig(), 4)
	warm := h.serve(7, 80*ms, InstanceWarm)
	for f := FunctionID(100); f < 110; f++ {
		id, actions := h.arrive(classIdempotent, f)
		for attempt := 0; ; attempt++ { // the policy sends each retry to another worker
			s, ok := firstAction[SendAttempt](actions)
			if !ok {
				break
			}
			actions = h.handle(AttemptEnded{Request: id, Attempt: attempt, Worker: s.Worker, Outcome: Errored, Duration: ms})
		}
	}
	for _, w := range h.policy.fleet {
		if share := w.health.unserved[classIdempotent].value(h.now); share > 0 {
			t.Errorf("the estimated share of unserved requests is %.0f%% at worker %d, want 0", 100*share, w.id())
		}
	}
	id, w := h.arriveAndSend(classIdempotent, 7)
	if w != warm {
		t.Errorf("the function is warm at worker %d, but the request was sent to worker %d", warm, w)
	}
	h.handle(AttemptEnded{Request: id, Worker: warm, Outcome: Errored, Duration: ms})
	if h.policy.workers[warm].health.unserved[classIdempotent].value(h.now) == 0 {
		t.Error("after an error for a function that was served before, the estimated share of unserved requests is 0, want more")
	}
}

// Guards against further requests of a class to a worker that accepts the requests of this class without answering
// them, while it serves other classes. A request that its client cancels must not be recorded as unserved.
func TestUnansweredClassMovesToAnotherWorker(t *testing.T) {
	for _, tc := range []struct {
		name           string
		clientCancels  bool
		wantSameWorker bool
	}{
		{"no answer by the deadline", false, false},
		{"the client cancels", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.AllowHealthChecks = false
			h := newHarness(t, cfg, 4)
			warm := h.serve(7, 80*ms, InstanceWarm)
			id := h.sendToWarmWorker(classNotIdempotent, warm)
			start := h.now
			for range 30 {
				h.serve(7, 80*ms, InstanceWarm)
			}
			if tc.clientCancels {
				h.handle(ClientCancelled{Request: id})
			} else {
				h.now = start + 4*time.Second - 2*cfg.Tick
				h.handle(TimerFired{Token: timer{kind: deadlineTimer, request: id}.token()})
			}
			h.handle(AttemptEnded{
				Request: id, Worker: warm, Outcome: Cancelled, RequestClosed: true,
				Duration: h.now - start,
			})
			if got := h.serve(7, 80*ms, InstanceWarm); got != warm {
				t.Errorf("a request of the class that is served was sent to worker %d, want %d", got, warm)
			}
			if _, w := h.arriveAndSend(classNotIdempotent, 7); (w == warm) != tc.wantSameWorker {
				t.Errorf("the next request of the class was sent to worker %d, the unanswered one to worker %d; want the same worker: %v",
					w, warm, tc.wantSameWorker)
			}
		})
	}
}

// A connection reset does not prove that the worker's process has ended. The policy must send a health check and eject
// the worker only if the check fails.
func TestConnectionResetTriggersHealthCheck(t *testing.T) {
	h := newHarness(t, testConfig(), 5)
	w := h.serve(7, 1100*ms, LoadStarted)
	id, _ := h.arrive(classNotIdempotent, 7)
	actions := h.fail(id, 0, w, ConnectionReset)
	if check, ok := firstAction[CheckHealth](actions); !ok || check.Worker != w {
		t.Fatalf("actions after a connection reset: %v, want a health check of worker %d", actions, w)
	}
	h.handle(HealthCheckEnded{Worker: w})
	if h.policy.isEjected(h.policy.workers[w]) || h.policy.workers[w].instances[7].warmUntil <= h.now {
		t.Errorf("after an answered health check at %v: worker ejected: %v, instance warm until %v; want no ejection and a warm instance",
			h.now, h.policy.isEjected(h.policy.workers[w]), h.policy.workers[w].instances[7].warmUntil)
	}
	h.now += ms
	h.handle(HealthCheckEnded{Worker: 999}) // an unknown worker: the event only advances the clock of the policy
	h.policy.checkHealth(h.policy.workers[w])
	h.now += time.Second
	h.handle(HealthCheckEnded{Worker: w, Outcome: TimedOut})
	if !h.policy.isEjected(h.policy.workers[w]) {
		t.Error("the worker is not ejected after a health check without an answer")
	}
}

// housekeepUntilCancel runs the housekeeping until an attempt is cancelled, for 3 s at most. Health checks of the
// silent worker time out; the other workers answer their health checks. housekeepUntilCancel reports whether the policy
// sent the silent worker a health check, and whether it cancelled an attempt.
func (h *harness) housekeepUntilCancel(silent WorkerID) (checked, cancelled bool) {
	for range 60 {
		h.now += housekeepingInterval
		for _, a := range h.housekeep() {
			check, ok := a.(CheckHealth)
			if !ok {
				continue
			}
			outcome := Served
			if check.Worker == silent {
				checked = true
				outcome = TimedOut
			}
			actions := h.handle(HealthCheckEnded{Worker: check.Worker, Outcome: outcome})
			cancelled = cancelled || hasAction[CancelAttempt](actions)
		}
		if cancelled {
			break
		}
	}
	return checked, cancelled
}

// Attempts at a worker that has stopped answering do not end by themselves. After a failed health check, the policy
// must eject the worker and cancel those attempts whose requests it may send to another worker.
func TestSilentWorkerIsEjectedAndItsAttemptsCancelled(t *testing.T) {
	h := newHarness(t, testConfig(), 4)
	silent := h.serve(7, 1100*ms, LoadStarted)
	id := h.sendToWarmWorker(classIdempotent, silent)
	checked, cancelled := h.housekeepUntilCancel(silent)
	if !checked || !cancelled {
		t.Fatalf("health check sent: %v, attempt cancelled: %v, want both", checked, cancelled)
	}
	retry, ok := firstAction[SendAttempt](h.fail(id, 0, silent, Cancelled))
	if !ok || retry.Worker == silent {
		t.Errorf("after the cancelled attempt: retry sent: %v, to worker %d, want a retry at another worker than %d",
			ok, retry.Worker, silent)
	}
	_, actions := h.arrive(classNotIdempotent, 9)
	if s, ok := firstAction[SendAttempt](actions); ok && s.Worker == silent {
		t.Errorf("a new request was sent to worker %d, which is silent, want another worker or no attempt", silent)
	}
}

// Guards against blaming a worker for an answer that was corrupted on the way: the worker works and has the function
// loaded, so a request that was on the same connection goes to it again, even if another worker is less busy.
func TestRequestIsRepeatedAtTheWorkerOfACorruptedAnswer(t *testing.T) {
	for busy := range 4 {
		h := newHarness(t, testConfig(), 5)
		for _, w := range h.policy.workers {
			w.instance(7).warmUntil = h.now + time.Minute
		}
		id, w := h.arriveAndSend(classIdempotent, 7)
		for range busy {
			h.arriveAndSend(classIdempotent, 7)
		}
		actions := h.handle(AttemptEnded{Request: id, Worker: w, Outcome: ConnectionReset, AnswerCorrupted: true})
		if got := h.sentTo(actions); got != w || hasAction[CheckHealth](actions) {
			t.Fatalf("the request was sent to worker %d, want %d again; actions %v, want no health check", got, w, actions)
		}
		if share := h.policy.workers[w].health.unserved[classIdempotent].value(h.now); share != 0 {
			t.Fatalf("the share of unserved attempts at the worker is %v, want 0", share)
		}
	}
}
