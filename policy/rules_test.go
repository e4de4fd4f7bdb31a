package policy

import "testing"

func TestNothingGoesToADrainingWorker(t *testing.T) {
	b := newHarness(t, testConfig(), 1)
	b.handle(EndpointUpdate{Endpoints: []Endpoint{{Worker: 1, State: Draining}}})
	if _, acts := b.arrive(0, 7); hasAction[SendAttempt](acts) {
		t.Error("sent to a draining worker")
	}
}

func TestUnsafeThatMayHaveRunIsFailedNotRepeated(t *testing.T) {
	for _, o := range []Outcome{Errored, TimedOut, ConnectionReset, Cancelled} {
		b := newHarness(t, testConfig(), 4)
		id, acts := b.arrive(2, 7)
		s, _ := firstAction[SendAttempt](acts)
		acts = b.handle(AttemptEnded{Request: id, Worker: s.Worker, Outcome: o})
		if hasAction[SendAttempt](acts) || hasAction[RefuseRequest](acts) || !hasAction[FailRequest](acts) {
			t.Errorf("outcome %d: %v", o, acts)
		}
	}
}

// The guard must hold at the place of emission, whatever path asks.
func TestEmissionGuardsUnsafeRepeats(t *testing.T) {
	b := newHarness(t, testConfig(), 2)
	id, acts := b.arrive(2, 7)
	s, _ := firstAction[SendAttempt](acts)
	r := b.policy.requests[id]
	r.outstanding, r.mayHaveRun = 0, r.attempts[0]
	if b.policy.emit(SendAttempt{Request: id, Worker: 3 - s.Worker}) {
		t.Error("a repeat of an unsafe request left")
	}
}

func TestUnsafeThatNeverRanGoesElsewhere(t *testing.T) {
	b := newHarness(t, testConfig(), 4)
	id, acts := b.arrive(2, 7)
	s, _ := firstAction[SendAttempt](acts)
	again, ok := firstAction[SendAttempt](b.handle(AttemptEnded{Request: id, Worker: s.Worker, Outcome: WorkerOverloaded}))
	if !ok || again.Worker == s.Worker {
		t.Errorf("after full: %v %v", again, ok)
	}
}

func TestKeyedIsRepeatedOnlyInsideItsGroupAndWindow(t *testing.T) {
	b := newHarness(t, testConfig(), 0)
	b.handle(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{Worker: 1, State: Ready, Zone: 0},
		{Worker: 2, State: Ready, Zone: 1}, {Worker: 3, State: Ready, Zone: 1}}})
	for range 20 {
		id, acts := b.arrive(1, 7)
		s, _ := firstAction[SendAttempt](acts)
		b.now += 10 * ms
		again, ok := firstAction[SendAttempt](b.handle(AttemptEnded{Request: id, Worker: s.Worker, Outcome: Errored}))
		if ok && (again.Worker == 1) != (s.Worker == 1) {
			t.Fatalf("sent to %d, then to %d of another group", s.Worker, again.Worker)
		}
		id, acts = b.arrive(1, 8)
		s, _ = firstAction[SendAttempt](acts)
		b.now += 1100 * ms
		if acts := b.handle(AttemptEnded{Request: id, Worker: s.Worker, Outcome: Errored}); hasAction[SendAttempt](acts) || hasAction[RefuseRequest](acts) {
			t.Fatal("repeated or refused outside the window")
		}
	}
}
