package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestSticksToTheWarmWorker(t *testing.T) {
	b := newHarness(t, testConfig(), 6)
	w := b.serveRequest(7, 1100*ms, LoadStarted)
	for range 20 {
		if got := b.serveRequest(7, 80*ms, InstanceWarm); got != w {
			t.Fatalf("warm at %d, sent to %d", w, got)
		}
	}
	b.now += 11 * time.Second // longer than the told keep-alive
	if i := b.policy.workers[w].instances[7]; i != nil && b.now < i.warmUntil {
		t.Error("belief outlives the keep-alive")
	}
}

// Guards the store and the memory: a call that finds all lanes of a copy taken goes to another worker's
// copy, where one is known, before the first worker begins a further copy by itself. Lanes that were seen
// to serve together count, until a miss shows that the copies have gone.
func TestCallsGoWhereALaneIsFree(t *testing.T) {
	send := func(b *harness) (RequestID, WorkerID) {
		b.lastRequest++
		s, ok := firstAction[SendAttempt](b.handle(RequestArrived{Request: b.lastRequest, Function: 7, Concurrency: 1, LoadTime: time.Second, TimeLeft: 4 * time.Second}))
		if !ok {
			b.t.Fatal("not sent")
		}
		return b.lastRequest, s.Worker
	}
	served := func(b *harness, id RequestID, w WorkerID, note InstanceStatus) {
		b.now += 80 * ms
		b.handle(AttemptEnded{Request: id, Worker: w, Outcome: Served, InstanceStatus: note, RequestClosed: true, Duration: 80 * ms})
	}
	b := newHarness(t, testConfig(), 2)
	for _, w := range []WorkerID{1, 2} { // both hold a copy; queueing at 2 looks a little worse
		b.policy.workers[w].instance(7).warmUntil = b.now + 10*time.Second
		b.policy.workers[w].excessDelay.observe(b.now, float64(w-1)*float64(20*ms))
	}
	one, at1 := send(b)
	two, at2 := send(b)
	if at1 != 1 || at2 != 2 {
		t.Fatalf("sent to %d, then to %d", at1, at2)
	}
	served(b, one, at1, InstanceWarm)
	served(b, two, at2, InstanceWarm)
	b.policy.workers[1].instance(7).concurrency = 2 // two were served at a time
	b.policy.workers[2].excessDelay.observe(b.now, float64(100*ms))
	if _, at1 = send(b); at1 != 1 {
		t.Fatalf("sent to %d", at1)
	}
	id, at2 := send(b)
	if at2 != 1 {
		t.Fatalf("sent to %d though a second lane was seen", at2)
	}
	b.handle(AttemptEnded{Request: id, Worker: 1, Outcome: FunctionNotLoaded})
	if n := b.policy.workers[1].instance(7).concurrency; n != 0 {
		t.Errorf("%d lanes are believed in after a miss", n)
	}
}

// Guards against a load at worker after worker: calls that come while the first home loads wait there.
func TestCallsWaitForTheLoadAtTheFirstHome(t *testing.T) {
	for peers := 1; peers <= 4; peers++ {
		cfg := testConfig()
		cfg.RouterCount = peers
		b := newHarness(t, cfg, 6)
		b.policy.servedWork = 6 * float64(rateMemory) // all are at work, so one function deserves one home
		at := map[WorkerID]int{}
		for range 4 { // as many as a copy serves at a time
			_, acts := b.arrive(0, 7)
			s, ok := firstAction[SendAttempt](acts)
			if !ok {
				t.Fatalf("%d dispatchers: not sent: %v", peers, acts)
			}
			at[s.Worker]++
			b.now += 20 * ms
		}
		if len(at) != 1 {
			t.Errorf("%d dispatchers: calls of one function began loads at %d workers", peers, len(at))
		}
	}
}

// A hot function needs many workers, and no dispatcher sees more than a call of it now and then.
func TestHotFunctionSpreadsAndRareOneStays(t *testing.T) {
	cfg := testConfig()
	cfg.RouterCount = 50
	hot, rare := map[WorkerID]bool{}, map[WorkerID]bool{}
	for n := range uint64(50) {
		b := newHarness(t, cfg, 20)
		b.policy.identity, b.policy.rng = n, rand.New(rand.NewPCG(n, 2))
		for k := range 30 {
			f := FunctionID(1000 + k)
			if k%3 == 0 {
				f = 7 // a third of all work: a third of the fleet
			}
			b.now += 300 * ms
			w := b.serveRequest(f, 30*ms, InstanceWarm)
			b.policy.workers[w].instances[f].warmUntil = b.now // as a dispatcher that has just lost sight of it
			if k > 15 && f == 7 {
				hot[w] = true
			}
		}
		b.now += time.Minute
		rare[b.serveRequest(9, 30*ms, InstanceWarm)] = true
	}
	if len(hot) < 4 || len(hot) > 14 {
		t.Errorf("a third of all work went to %d of 20 workers", len(hot))
	}
	if len(rare) != 1 {
		t.Errorf("a function called now and then has %d homes", len(rare))
	}
}

// A function's first home answers full at once while the others have room: many dispatchers, each blind to the
// others, move their sum of sends off it within seconds and come back after.
func TestCallsMoveOffAFullHomeAndBack(t *testing.T) {
	cfg := testConfig()
	cfg.RouterCount, cfg.InstanceStatusInAnswers = 60, false
	var beds []*harness
	for n := range uint64(60) {
		b := newHarness(t, cfg, 20)
		b.policy.identity, b.policy.rng = n, rand.New(rand.NewPCG(n, 9))
		beds = append(beds, b)
	}
	home, count := WorkerID(0), map[WorkerID]int{}
	round := func(full bool) (share float64) {
		sends, there := 0, 0
		for _, b := range beds {
			for k := range 24 {
				f := FunctionID(7)
				if k > 0 {
					f = FunctionID(1000 + k + int(b.policy.identity)*24)
				}
				b.now += 500 * ms // 12 s a round: the function comes too seldom to know its copy as warm
				b.handle(TimerFired{Token: housekeepingToken})
				id, acts := b.arrive(0, f)
				for try := 0; try < 3; try++ {
					s, ok := firstAction[SendAttempt](acts)
					if !ok {
						break
					}
					if f == 7 && try == 0 {
						sends++
						count[s.Worker]++
						if s.Worker == home {
							there++
						}
					}
					if f == 7 && full && s.Worker == home {
						b.now += 5 * ms
						acts = b.handle(AttemptEnded{Request: id, Attempt: try, Worker: s.Worker, Outcome: WorkerOverloaded, Duration: 5 * ms})
						continue
					}
					b.now += 60 * ms
					b.handle(AttemptEnded{Request: id, Attempt: try, Worker: s.Worker, Outcome: Served, RequestClosed: true, Duration: 60 * ms})
					break
				}
			}
		}
		return float64(there) / float64(sends)
	}
	for range 5 {
		round(false)
	}
	for w := range beds[0].policy.fleet {
		if count[WorkerID(w+1)] > count[home] {
			home = WorkerID(w + 1)
		}
	}
	before := round(false)
	for range 4 {
		round(true)
	}
	during := round(true)
	for range 40 {
		round(false)
	}
	after := round(false)
	t.Logf("share of sends at the home: %.2f before, %.2f while full, %.2f after", before, during, after)
	if during > before/3 {
		t.Errorf("the full home still draws %.2f of sends, %.2f before", during, before)
	}
	if after < before/2 {
		t.Errorf("the home draws %.2f of sends after it has room again, %.2f before", after, before)
	}
}

// A worker that turns a call away has begun no load for it: the next call must not count on one.
func TestFullAnswerBeganNoLoad(t *testing.T) {
	b := newHarness(t, testConfig(), 3)
	id, acts := b.arrive(0, 7)
	s, _ := firstAction[SendAttempt](acts)
	b.handle(AttemptEnded{Request: id, Worker: s.Worker, Outcome: WorkerOverloaded, Duration: ms})
	if w := b.policy.workers[s.Worker]; !b.policy.needsLoad(w, b.policy.requests[id]) {
		t.Errorf("a load is thought under way: %v left", b.policy.remainingLoadTime(w, b.policy.requests[id]))
	}
}

// Little time left is no reason to refuse what most likely stands loaded at its home.
func TestShortOfTimeIsSentToALikelyWarmHome(t *testing.T) {
	for left, want := range map[time.Duration]bool{20 * ms: false, 300 * ms: true} { // no run ends in 20 ms
		cfg := testConfig()
		cfg.RouterCount = 40
		b := newHarness(t, cfg, 5)
		b.serveRequest(7, 100*ms, InstanceWarm)
		b.policy.lastTrial = b.now
		acts := b.handle(RequestArrived{Request: 99, Function: 8, LoadTime: time.Second, TimeLeft: left})
		if hasAction[SendAttempt](acts) != want {
			t.Errorf("%v left: %v", left, acts)
		}
	}
}
