package policy

import (
	"testing"
	"time"
)

// sentToWarm brings a new request of a class for function 7, which must go to the worker that is warm.
func (h *harness) sentToWarm(class int, warm WorkerID) RequestID {
	h.t.Helper()
	id, w := h.arriveAndSend(class, 7)
	if w != warm {
		h.t.Fatalf("warm at %d, sent to %d", warm, w)
	}
	return id
}

// reset ends a request's first attempt by a connection reset after 10 ms.
func (h *harness) reset(id RequestID, w WorkerID) []Action {
	return h.handle(AttemptEnded{Request: id, Worker: w, Outcome: ConnectionReset, Duration: 10 * ms})
}

// Guards against a load for each request whose connection broke: the worker that has the instance is tried once
// more, over another connection. Where that ends badly too the request goes elsewhere.
func TestConnectionResetIsRetriedAtWarmWorker(t *testing.T) {
	for _, second := range []Outcome{ConnectionReset, Unreachable} {
		t.Run(second.String(), func(t *testing.T) {
			h := newHarness(t, testConfig(), 3)
			w := h.serve(7, 1100*ms, LoadStarted)
			for range 20 {
				h.serve(7, 80*ms, InstanceWarm)
			}
			sharer, _ := h.arrive(classIdempotent, 7) // on the same connection
			id := h.sentToWarm(classIdempotent, w)
			h.now += 10 * ms
			sharerActions := h.reset(sharer, w)
			unserved := &h.policy.workers[w].health.unserved[classIdempotent]
			before := unserved.count
			actions := h.reset(id, w)
			if retry, ok := firstAction[SendAttempt](actions); !ok || retry.Worker != w {
				t.Fatalf("after a reset: %v", actions)
			}
			if !hasAction[CheckHealth](sharerActions) || hasAction[CheckHealth](actions) {
				t.Fatalf("not one health check after resets: %v, %v", sharerActions, actions)
			}
			if unserved.count != before {
				t.Error("one broken connection counts as two failures")
			}
			actions = h.fail(id, 1, w, second)
			if retry, ok := firstAction[SendAttempt](actions); !ok || retry.Worker == w {
				t.Errorf("after the second attempt: %v", actions)
			}
		})
	}
}

// Guards a worker that is well where no health check may tell so: a connection that breaks under many attempts counts
// once and ejects nobody. A dial that is refused does.
func TestConnectionResetCountsOnceWithoutHealthChecks(t *testing.T) {
	cfg := testConfig()
	cfg.AllowHealthChecks = false
	h := newHarness(t, cfg, 3)
	warm := h.serve(7, 80*ms, InstanceWarm)
	var ids []RequestID
	for range 4 {
		ids = append(ids, h.sentToWarm(classNotIdempotent, warm))
	}
	h.now += 10 * ms
	w := h.policy.workers[warm]
	before := w.health.unserved[classNotIdempotent].count
	for _, id := range ids[1:] {
		h.reset(id, warm)
	}
	if n := w.health.unserved[classNotIdempotent].count; n > before+1 {
		t.Errorf("one broken connection counts as %.1f failures", n-before)
	}
	if h.policy.isEjected(w) {
		t.Error("a worker is ejected for a connection that broke")
	}
	if h.fail(ids[0], 0, warm, Unreachable); !h.policy.isEjected(w) {
		t.Error("a worker that refuses connections is still used")
	}
}

// Guards a worker that is well against a load command whose connection broke: a health check tells, and until then
// neither is the worker ejected nor do the requests that wait for the load go elsewhere.
func TestConnectionResetOfLoadCommandEjectsNoWorker(t *testing.T) {
	for _, tc := range []struct {
		outcome              Outcome
		ejects, healthChecks bool
	}{
		{outcome: ConnectionReset, healthChecks: true},
		{outcome: Unreachable, ejects: true},
	} {
		t.Run(tc.outcome.String(), func(t *testing.T) {
			cfg := testConfig()
			cfg.MissWhenNotLoaded, cfg.AllowLoadCommands = true, true
			h := newHarness(t, cfg, 3)
			id, w := h.arriveAndSend(classIdempotent, 7)
			if actions := h.fail(id, 0, w, FunctionNotLoaded); !hasAction[LoadInstance](actions) {
				t.Fatalf("after a miss: %v", actions)
			}
			actions := h.handle(LoadCommandEnded{Worker: w, Function: 7, Outcome: tc.outcome})
			if ejected := h.policy.isEjected(h.policy.workers[w]); ejected != tc.ejects {
				t.Errorf("ejected: %v", ejected)
			}
			if hasAction[CheckHealth](actions) != tc.healthChecks {
				t.Errorf("checked: %v", !tc.healthChecks)
			}
			if next := h.sentTo(actions); tc.ejects && next == w {
				t.Error("sent to the ejected worker")
			}
		})
	}
}

// A router that stood still finds late timers and all answers at once: no worker is ejected for it, answers that
// are due go out in that turn, and requests flow as before.
func TestStalledRouterEjectsNoWorker(t *testing.T) {
	h := newHarness(t, testConfig(), 4)
	for range 8 {
		h.serve(7, 100*ms, InstanceWarm)
	}
	id, warm := h.arriveAndSend(classIdempotent, 7)
	due, _ := h.arrive(classNotIdempotent, 7)
	h.now += 3999 * ms // beyond the time to answer the second, whose worker has not
	healthChecks := 0
	for _, a := range h.housekeep() {
		if _, ok := a.(CheckHealth); ok {
			healthChecks++
		}
	}
	if healthChecks > 4 {
		t.Errorf("%d health checks of 4 workers in one turn", healthChecks)
	}
	if actions := h.handle(TimerFired{Token: timer{kind: deadlineTimer, request: due}.token()}); !hasAction[FailRequest](actions) {
		t.Errorf("a request that may have run is not failed when due: %v", actions)
	}
	h.answer(id, warm, InstanceWarm, 100*ms)
	for _, w := range h.policy.fleet {
		if w.health.checkPending {
			h.handle(HealthCheckEnded{Worker: w.id(), Duration: 2 * ms})
		}
		if h.policy.isEjected(w) {
			t.Errorf("worker %d is ejected", w.id())
		}
	}
	if got := h.serve(7, 100*ms, InstanceWarm); got != warm {
		t.Errorf("the warm worker %d is left for %d", warm, got)
	}
}

// One class failing at a worker that serves the rest: its requests go elsewhere, the others stay, and it is
// tried again later.
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
		t.Error("the failing class goes on at the worker")
	}
	if got := h.serve(7, 80*ms, InstanceWarm); got != warm {
		t.Errorf("the other class left for %d", got)
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
		t.Error("the worker is shut out for the class")
	}
}

// Guards workers against blame for requests that none can serve: whoever can connect could ask for functions
// that do not exist, and have each worker called unfit in turn.
func TestErrorsOfUnknownFunctionsBlameNoWorker(t *testing.T) {
	h := newHarness(t, testConfig(), 4)
	warm := h.serve(7, 80*ms, InstanceWarm)
	for f := FunctionID(100); f < 110; f++ {
		id, actions := h.arrive(classIdempotent, f)
		for n := 0; ; n++ { // at one worker after another
			s, ok := firstAction[SendAttempt](actions)
			if !ok {
				break
			}
			actions = h.handle(AttemptEnded{Request: id, Attempt: n, Worker: s.Worker, Outcome: Errored, Duration: ms})
		}
	}
	for _, w := range h.policy.fleet {
		if share := w.health.unserved[classIdempotent].value(h.now); share > 0 {
			t.Errorf("%.0f%% of requests are thought to go unserved at worker %d", 100*share, w.id())
		}
	}
	id, w := h.arriveAndSend(classIdempotent, 7)
	if w != warm {
		t.Errorf("the warm worker %d is left for %d", warm, w)
	}
	h.handle(AttemptEnded{Request: id, Worker: warm, Outcome: Errored, Duration: ms})
	if h.policy.workers[warm].health.unserved[classIdempotent].value(h.now) == 0 {
		t.Error("an error to a request of a function that was served counts for nothing")
	}
}

// Guards a class whose requests a worker takes in and never answers, while it goes on serving the others.
func TestUnansweredClassLeavesItsWorker(t *testing.T) {
	for _, tc := range []struct {
		name             string
		clientCancels    bool
		nextGoesToWorker bool
	}{
		{"no answer by the deadline", false, false},
		{"the client cancels", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.AllowHealthChecks = false
			h := newHarness(t, cfg, 4)
			warm := h.serve(7, 80*ms, InstanceWarm)
			id := h.sentToWarm(classNotIdempotent, warm)
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
				t.Errorf("the class that is served left for %d", got)
			}
			if _, w := h.arriveAndSend(classNotIdempotent, 7); (w == warm) != tc.nextGoesToWorker {
				t.Errorf("the next request went to %d from %d", w, warm)
			}
		})
	}
}

// An answer lost by a reset does not mean that the process died: a health check finds out.
func TestConnectionResetTriggersHealthCheck(t *testing.T) {
	h := newHarness(t, testConfig(), 5)
	w := h.serve(7, 1100*ms, LoadStarted)
	id, _ := h.arrive(classNotIdempotent, 7)
	actions := h.fail(id, 0, w, ConnectionReset)
	if check, ok := firstAction[CheckHealth](actions); !ok || check.Worker != w {
		t.Fatalf("no health check of the worker: %v", actions)
	}
	h.handle(HealthCheckEnded{Worker: w})
	if h.policy.isEjected(h.policy.workers[w]) || h.policy.workers[w].instances[7].warmUntil <= h.now {
		t.Error("a living worker is ejected or thought empty")
	}
	h.now += ms
	h.handle(HealthCheckEnded{Worker: 999}) // the clock goes on
	h.policy.checkHealth(h.policy.workers[w])
	h.now += time.Second
	h.handle(HealthCheckEnded{Worker: w, Outcome: TimedOut})
	if !h.policy.isEjected(h.policy.workers[w]) {
		t.Error("a worker that answers no health check is still used")
	}
}

// housekeepUntilCancel plays 3 s of housekeeping, in which a silent worker answers no health check and the others do. It
// reports whether the silent one was checked, and whether an attempt was cancelled for it.
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

// A silent worker gives no outcomes: the failed health check is the signal to cancel what may be sent elsewhere.
func TestSilentWorkerIsEjectedAndItsAttemptsRescued(t *testing.T) {
	h := newHarness(t, testConfig(), 4)
	silent := h.serve(7, 1100*ms, LoadStarted)
	id := h.sentToWarm(classIdempotent, silent)
	checked, cancelled := h.housekeepUntilCancel(silent)
	if !checked || !cancelled {
		t.Fatalf("checked %v, cancelled %v", checked, cancelled)
	}
	retry, ok := firstAction[SendAttempt](h.fail(id, 0, silent, Cancelled))
	if !ok || retry.Worker == silent {
		t.Errorf("rescued request: %v %v", retry, ok)
	}
	_, actions := h.arrive(classNotIdempotent, 9)
	if s, ok := firstAction[SendAttempt](actions); ok && s.Worker == silent {
		t.Error("a request that is not idempotent went to the silent worker")
	}
}
