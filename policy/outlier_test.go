package policy

import (
	"testing"
	"time"
)

// Guards against a load for each call whose connection broke: the worker that holds the copy is tried once
// more, over another connection. Where that ends badly too the call goes elsewhere.
func TestBrokenConnectionDoesNotSendACallToAColdWorker(t *testing.T) {
	for _, again := range []Outcome{ConnectionReset, Unreachable} {
		b := newHarness(t, testConfig(), 3)
		w := b.serveRequest(7, 1100*ms, LoadStarted)
		for range 20 {
			b.serveRequest(7, 80*ms, InstanceWarm)
		}
		others, _ := b.arrive(0, 7) // on the same connection
		id, acts := b.arrive(0, 7)
		if s, _ := firstAction[SendAttempt](acts); s.Worker != w {
			t.Fatalf("warm at %d, sent to %d", w, s.Worker)
		}
		b.now += 10 * ms
		probes := b.handle(AttemptEnded{Request: others, Worker: w, Outcome: ConnectionReset, Duration: 10 * ms})
		n := b.policy.workers[w].unserved[0].count
		acts = b.handle(AttemptEnded{Request: id, Worker: w, Outcome: ConnectionReset, Duration: 10 * ms})
		if s, ok := firstAction[SendAttempt](acts); !ok || s.Worker != w || !hasAction[ProbeWorker](probes) || hasAction[ProbeWorker](acts) {
			t.Fatalf("after a reset: %v, %v", probes, acts)
		}
		if b.policy.workers[w].unserved[0].count != n {
			t.Error("one broken connection counts as two failures")
		}
		acts = b.handle(AttemptEnded{Request: id, Attempt: 1, Worker: w, Outcome: again})
		if s, ok := firstAction[SendAttempt](acts); !ok || s.Worker == w {
			t.Errorf("after outcome %d of the second: %v", again, acts)
		}
	}
}

// Guards a worker that is well where no probe may tell so: a connection that breaks under many calls counts
// once and does not set the worker aside. A dial that is refused does.
func TestBrokenConnectionCountsOnceWithoutProbes(t *testing.T) {
	cfg := testConfig()
	cfg.AllowProbes = false
	b := newHarness(t, cfg, 3)
	at := b.serveRequest(7, 80*ms, InstanceWarm)
	var ids []RequestID
	for range 4 {
		id, acts := b.arrive(2, 7)
		if s, _ := firstAction[SendAttempt](acts); s.Worker != at {
			t.Fatalf("warm at %d, sent to %d", at, s.Worker)
		}
		ids = append(ids, id)
	}
	b.now += 10 * ms
	w := b.policy.workers[at]
	before := w.unserved[2].count
	for _, id := range ids[1:] {
		b.handle(AttemptEnded{Request: id, Worker: at, Outcome: ConnectionReset, Duration: 10 * ms})
	}
	if n := w.unserved[2].count; n > before+1 {
		t.Errorf("one broken connection counts as %.1f failures", n-before)
	}
	if b.policy.isEjected(w) {
		t.Error("a worker is set aside for a connection that broke")
	}
	if b.handle(AttemptEnded{Request: ids[0], Worker: at, Outcome: Unreachable}); !b.policy.isEjected(w) {
		t.Error("a worker that refuses connections is still used")
	}
}

// Guards a worker that is well against an order to load whose connection broke: a probe tells, and until
// then neither is the worker set aside nor do the calls that wait for the load go elsewhere.
func TestBrokenConnectionOfAnOrderSetsNoWorkerAside(t *testing.T) {
	for _, o := range []Outcome{ConnectionReset, Unreachable} {
		cfg := testConfig()
		cfg.MissWhenNotLoaded, cfg.AllowLoadOrders = true, true
		b := newHarness(t, cfg, 3)
		id, acts := b.arrive(0, 7)
		s, _ := firstAction[SendAttempt](acts)
		if acts = b.handle(AttemptEnded{Request: id, Worker: s.Worker, Outcome: FunctionNotLoaded}); !hasAction[LoadInstance](acts) {
			t.Fatalf("after a miss: %v", acts)
		}
		acts = b.handle(LoadOrderEnded{Worker: s.Worker, Function: 7, Outcome: o})
		aside := b.policy.isEjected(b.policy.workers[s.Worker])
		if next, ok := firstAction[SendAttempt](acts); !ok || aside != (o == Unreachable) || hasAction[ProbeWorker](acts) != (o == ConnectionReset) ||
			o == Unreachable && next.Worker == s.Worker {
			t.Errorf("after outcome %d of the order: %v, aside %v", o, acts, aside)
		}
	}
}

// A dispatcher that stood still finds late timers and all answers at once: no worker is set aside for it, answers that
// are due go out in that turn, and calls flow as before.
func TestOwnStallIsNotTheWorkersSilence(t *testing.T) {
	b := newHarness(t, testConfig(), 4)
	for range 8 {
		b.serveRequest(7, 100*ms, InstanceWarm)
	}
	id, acts := b.arrive(0, 7)
	s, _ := firstAction[SendAttempt](acts)
	due, _ := b.arrive(2, 7)
	b.now += 3999 * ms // beyond the time to answer the second, whose worker has not
	probes := 0
	for _, a := range b.handle(TimerFired{Token: housekeepingToken}) {
		if _, ok := a.(ProbeWorker); ok {
			probes++
		}
	}
	if probes > 4 {
		t.Errorf("%d probes of 4 workers in one turn", probes)
	}
	if acts := b.handle(TimerFired{Token: deadlineTokenBase + uint64(due)}); !hasAction[FailRequest](acts) {
		t.Errorf("an unsafe call that may have run is not failed when due: %v", acts)
	}
	b.handle(AttemptEnded{Request: id, Worker: s.Worker, Outcome: Served, InstanceStatus: InstanceWarm, RequestClosed: true, Duration: 100 * ms})
	for _, w := range b.policy.fleet {
		if w.probing {
			b.handle(ProbeEnded{Worker: w.Worker, Duration: 2 * ms})
		}
		if b.policy.isEjected(w) {
			t.Errorf("worker %d is set aside", w.Worker)
		}
	}
	if got := b.serveRequest(7, 100*ms, InstanceWarm); got != s.Worker {
		t.Errorf("the warm worker %d is left for %d", s.Worker, got)
	}
}

// One class failing at a worker that serves the rest: its calls go elsewhere, the others stay, and it is tried again.
func TestFailuresOfOneClassMoveOnlyThatClass(t *testing.T) {
	b := newHarness(t, testConfig(), 5)
	w := b.serveRequest(7, 1100*ms, LoadStarted)
	for range 2 {
		id, acts := b.arrive(1, 7)
		s, _ := firstAction[SendAttempt](acts)
		b.handle(AttemptEnded{Request: id, Worker: s.Worker, Outcome: Errored, Duration: 5 * ms})
		b.handle(ClientCancelled{Request: id})
	}
	if _, acts := b.arrive(1, 7); hasAction[SendAttempt](acts) {
		if s, _ := firstAction[SendAttempt](acts); s.Worker == w {
			t.Error("the failing class goes on at the worker")
		}
	}
	if got := b.serveRequest(7, 80*ms, InstanceWarm); got != w {
		t.Errorf("the other class left for %d", got)
	}
	b.now += 30 * time.Second
	b.policy.workers[w].instance(7).warmUntil = b.now + time.Minute
	for o, x := range b.policy.workers {
		if o != w {
			delete(x.instances, 7)
		}
	}
	if _, acts := b.arrive(1, 7); hasAction[SendAttempt](acts) {
		if s, _ := firstAction[SendAttempt](acts); s.Worker != w {
			t.Error("the worker is shut out for the class")
		}
	}
}

// Guards workers against blame for calls that none can serve: whoever can connect could ask for functions
// that do not exist, and have each worker called unfit in turn.
func TestCallsOfUnknownFunctionsBlameNoWorker(t *testing.T) {
	b := newHarness(t, testConfig(), 4)
	at := b.serveRequest(7, 80*ms, InstanceWarm)
	for f := FunctionID(100); f < 110; f++ {
		id, acts := b.arrive(0, f)
		for n := 0; ; n++ { // at one worker after another
			s, ok := firstAction[SendAttempt](acts)
			if !ok {
				break
			}
			acts = b.handle(AttemptEnded{Request: id, Attempt: n, Worker: s.Worker, Outcome: Errored, Duration: ms})
		}
	}
	for _, w := range b.policy.fleet {
		if share := w.unserved[0].value(b.now); share > 0 {
			t.Errorf("%.0f%% of calls are thought to go unserved at worker %d", 100*share, w.Worker)
		}
	}
	id, acts := b.arrive(0, 7)
	if s, _ := firstAction[SendAttempt](acts); s.Worker != at {
		t.Errorf("the warm worker %d is left for %d", at, s.Worker)
	}
	b.handle(AttemptEnded{Request: id, Worker: at, Outcome: Errored, Duration: ms})
	if b.policy.workers[at].unserved[0].value(b.now) == 0 {
		t.Error("an error to a call of a function that was served counts for nothing")
	}
}

// Guards a class whose calls a worker takes in and never answers, while it goes on serving the others.
func TestUnansweredClassLeavesItsWorker(t *testing.T) {
	for _, given := range []bool{false, true} { // up, by the client
		cfg := testConfig()
		cfg.AllowProbes = false
		b := newHarness(t, cfg, 4)
		at := b.serveRequest(7, 80*ms, InstanceWarm)
		id, acts := b.arrive(2, 7)
		if s, _ := firstAction[SendAttempt](acts); s.Worker != at {
			t.Fatalf("warm at %d, sent to %d", at, s.Worker)
		}
		start := b.now
		for range 30 {
			b.serveRequest(7, 80*ms, InstanceWarm)
		}
		if given {
			b.handle(ClientCancelled{Request: id})
		} else {
			b.now = start + 4*time.Second - 2*cfg.Tick
			b.handle(TimerFired{Token: deadlineTokenBase + uint64(id)})
		}
		b.handle(AttemptEnded{Request: id, Worker: at, Outcome: Cancelled, RequestClosed: true, Duration: b.now - start})
		if got := b.serveRequest(7, 80*ms, InstanceWarm); got != at {
			t.Errorf("given up by the client %v: the class that is served left for %d", given, got)
		}
		_, acts = b.arrive(2, 7)
		if s, _ := firstAction[SendAttempt](acts); (s.Worker == at) != given {
			t.Errorf("given up by the client %v: the next call went to %d from %d", given, s.Worker, at)
		}
	}
}

// An answer lost by a reset is not a dead process.
func TestResetCallsForAProbeAndEndsNoBelief(t *testing.T) {
	b := newHarness(t, testConfig(), 5)
	w := b.serveRequest(7, 1100*ms, LoadStarted)
	id, _ := b.arrive(2, 7)
	acts := b.handle(AttemptEnded{Request: id, Worker: w, Outcome: ConnectionReset})
	if pr, ok := firstAction[ProbeWorker](acts); !ok || pr.Worker != w {
		t.Fatalf("no probe of the worker: %v", acts)
	}
	b.handle(ProbeEnded{Worker: w})
	if b.policy.isEjected(b.policy.workers[w]) || b.policy.workers[w].instances[7].warmUntil <= b.now {
		t.Error("a living worker is set aside or thought empty")
	}
	b.now += ms
	b.handle(ProbeEnded{Worker: 999}) // the clock goes on
	b.policy.probe(b.policy.workers[w])
	b.now += time.Second
	b.handle(ProbeEnded{Worker: w, Outcome: TimedOut})
	if !b.policy.isEjected(b.policy.workers[w]) {
		t.Error("a worker that answers no probe is still used")
	}
}

// A silent worker gives no outcomes: the failed probe is the signal to call off what may be repeated.
func TestSilentWorkerIsLeftAndItsSafeCallsRescued(t *testing.T) {
	b := newHarness(t, testConfig(), 4)
	w := b.serveRequest(7, 1100*ms, LoadStarted)
	id, acts := b.arrive(0, 7)
	if s, _ := firstAction[SendAttempt](acts); s.Worker != w {
		t.Fatal("not sent to the warm worker")
	}
	probed, called := false, false
	for range 60 {
		b.now += housekeepingInterval
		acts := b.handle(TimerFired{Token: housekeepingToken})
		for _, a := range acts {
			if pr, ok := a.(ProbeWorker); ok {
				o := Served
				if pr.Worker == w {
					probed, o = true, TimedOut
				}
				called = called || hasAction[CancelAttempt](b.handle(ProbeEnded{Worker: pr.Worker, Outcome: o}))
			}
		}
		if called {
			break
		}
	}
	if !probed || !called {
		t.Fatalf("probed %v, called off %v", probed, called)
	}
	again, ok := firstAction[SendAttempt](b.handle(AttemptEnded{Request: id, Worker: w, Outcome: Cancelled}))
	if !ok || again.Worker == w {
		t.Errorf("rescued call: %v %v", again, ok)
	}
	if _, acts := b.arrive(2, 9); hasAction[SendAttempt](acts) {
		if s, _ := firstAction[SendAttempt](acts); s.Worker == w {
			t.Error("an unsafe call went to the silent worker")
		}
	}
}
