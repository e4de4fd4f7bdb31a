package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestSticksToWarmWorker(t *testing.T) {
	h := newHarness(t, testConfig(), 6)
	w := h.serve(7, 1100*ms, LoadStarted)
	for range 20 {
		if got := h.serve(7, 80*ms, InstanceWarm); got != w {
			t.Fatalf("warm at %d, sent to %d", w, got)
		}
	}
	h.now += 11 * time.Second // longer than the keep-alive
	if i := h.policy.workers[w].instances[7]; i != nil && h.now < i.warmUntil {
		t.Error("the instance is believed in beyond its keep-alive")
	}
}

// sendSingle brings a request for function 7, whose instances run one request at a time, and returns where it
// was sent.
func (h *harness) sendSingle() (RequestID, WorkerID) {
	h.t.Helper()
	h.lastRequest++
	return h.lastRequest, h.sentTo(h.handle(RequestArrived{
		Request: h.lastRequest, Function: 7, Concurrency: 1,
		LoadTime: time.Second, TimeLeft: 4 * time.Second,
	}))
}

// Guards the store and the memory: a request that finds an instance busy goes to another worker's, where one is
// known, before the first worker begins a further one by itself. A concurrency that was observed counts, until a
// miss shows that the instances have gone.
func TestPrefersInstanceWithFreeConcurrency(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	for _, w := range []WorkerID{1, 2} { // both have an instance; queueing at 2 looks a little worse
		h.policy.workers[w].instance(7).warmUntil = h.now + 10*time.Second
		h.policy.workers[w].queue.excessDelay.observe(h.now, float64(w-1)*float64(20*ms))
	}
	first, atFirst := h.sendSingle()
	second, atSecond := h.sendSingle()
	if atFirst != 1 || atSecond != 2 {
		t.Fatalf("sent to %d, then to %d", atFirst, atSecond)
	}
	h.now += 80 * ms
	h.answer(first, atFirst, InstanceWarm, 80*ms)
	h.now += 80 * ms
	h.answer(second, atSecond, InstanceWarm, 80*ms)
	h.policy.workers[1].instance(7).concurrency = 2 // two were served at a time
	h.policy.workers[2].queue.excessDelay.observe(h.now, float64(100*ms))
	if _, w := h.sendSingle(); w != 1 {
		t.Fatalf("sent to %d", w)
	}
	id, w := h.sendSingle()
	if w != 1 {
		t.Fatalf("sent to %d though a concurrency of 2 was observed", w)
	}
	h.fail(id, 0, 1, FunctionNotLoaded)
	if n := h.policy.workers[1].instance(7).concurrency; n != 0 {
		t.Errorf("a concurrency of %d is believed in after a miss", n)
	}
}

// Guards against a load at worker after worker: requests that come while the preferred worker loads wait there.
func TestRequestsWaitForLoadUnderWay(t *testing.T) {
	for routers := 1; routers <= 4; routers++ {
		cfg := testConfig()
		cfg.RouterCount = routers
		h := newHarness(t, cfg, 6)
		h.policy.estimates.servedWork = 6 * nanoseconds(rateTimeConstant) // all are at work, so one function deserves one worker
		sends := map[WorkerID]int{}
		for range 4 { // as many as an instance runs at a time
			_, w := h.arriveAndSend(classIdempotent, 7)
			sends[w]++
			h.now += 20 * ms
		}
		if len(sends) != 1 {
			t.Errorf("%d routers: requests of one function began loads at %d workers", routers, len(sends))
		}
	}
}

// A hot function needs many workers, and no router sees more than a request of it now and then.
func TestHotFunctionSpreadsAndRareOneStays(t *testing.T) {
	cfg := testConfig()
	cfg.RouterCount = 50
	hot, rare := map[WorkerID]bool{}, map[WorkerID]bool{}
	for n := range uint64(50) {
		h := newHarness(t, cfg, 20)
		h.policy.replicaSeed, h.policy.rng = n, rand.New(rand.NewPCG(n, 2))
		for k := range 30 {
			f := FunctionID(1000 + k)
			if k%3 == 0 {
				f = 7 // a third of all work: a third of the fleet
			}
			h.now += 300 * ms
			w := h.serve(f, 30*ms, InstanceWarm)
			h.policy.workers[w].instances[f].warmUntil = h.now // as a router that has just lost sight of it
			if k > 15 && f == 7 {
				hot[w] = true
			}
		}
		h.now += time.Minute
		rare[h.serve(9, 30*ms, InstanceWarm)] = true
	}
	if len(hot) < 4 || len(hot) > 14 {
		t.Errorf("a third of all work went to %d of 20 workers", len(hot))
	}
	if len(rare) != 1 {
		t.Errorf("a function called now and then is loaded at %d workers", len(rare))
	}
}

// routerFleet is many routers that share workers and do not see each other's requests. It counts the first
// attempts of function 7.
type routerFleet struct {
	routers   []*harness
	preferred WorkerID // where function 7 goes while all is well
	sends     map[WorkerID]int
}

func newRouterFleet(t *testing.T, routers, workers int) *routerFleet {
	t.Helper()
	cfg := testConfig()
	cfg.RouterCount, cfg.InstanceStatusInAnswers = routers, false
	fleet := &routerFleet{sends: map[WorkerID]int{}}
	for n := range uint64(routers) {
		h := newHarness(t, cfg, workers)
		h.policy.replicaSeed, h.policy.rng = n, rand.New(rand.NewPCG(n, 9))
		fleet.routers = append(fleet.routers, h)
	}
	return fleet
}

// play brings each router 24 requests in 12 s, the first of them for function 7, which comes too seldom to be
// known as warm. It returns the share of that function's first attempts that went to the preferred worker, which
// rejects them while overloaded.
func (fleet *routerFleet) play(overloaded bool) float64 {
	sends, toPreferred := 0, 0
	for _, h := range fleet.routers {
		for k := range 24 {
			f := FunctionID(7)
			if k > 0 {
				f = FunctionID(1000 + k + int(h.policy.replicaSeed)*24)
			}
			h.now += 500 * ms
			h.housekeep()
			id, actions := h.arrive(classIdempotent, f)
			send, ok := firstAction[SendAttempt](actions)
			if ok && f == 7 {
				sends++
				fleet.sends[send.Worker]++
				if send.Worker == fleet.preferred {
					toPreferred++
				}
			}
			fleet.playAttempts(h, id, actions, overloaded && f == 7)
		}
	}
	return float64(toPreferred) / float64(sends)
}

// playAttempts answers a request's attempts, of which the preferred worker may reject up to three.
func (fleet *routerFleet) playAttempts(h *harness, id RequestID, actions []Action, preferredRejects bool) {
	for attempt := range 3 {
		send, ok := firstAction[SendAttempt](actions)
		if !ok {
			return
		}
		if !preferredRejects || send.Worker != fleet.preferred {
			h.now += 60 * ms
			h.handle(AttemptEnded{
				Request: id, Attempt: attempt, Worker: send.Worker, Outcome: Served,
				RequestClosed: true, Duration: 60 * ms,
			})
			return
		}
		h.now += 5 * ms
		actions = h.handle(AttemptEnded{
			Request: id, Attempt: attempt, Worker: send.Worker, Outcome: WorkerOverloaded,
			Duration: 5 * ms,
		})
	}
}

// A function's preferred worker rejects at once while the others have room: many routers, which do not see each
// other's requests, move their sum of sends off it within seconds and come back after.
func TestRequestsLeaveOverloadedWorkerAndReturn(t *testing.T) {
	fleet := newRouterFleet(t, 60, 20)
	for range 5 {
		fleet.play(false)
	}
	for w := WorkerID(1); w <= 20; w++ {
		if fleet.sends[w] > fleet.sends[fleet.preferred] {
			fleet.preferred = w
		}
	}
	before := fleet.play(false)
	for range 4 {
		fleet.play(true)
	}
	during := fleet.play(true)
	for range 40 {
		fleet.play(false)
	}
	after := fleet.play(false)
	t.Logf("share of sends at the preferred worker: %.2f before, %.2f in overload, %.2f after", before, during, after)
	if during > before/3 {
		t.Errorf("the overloaded worker still draws %.2f of sends, %.2f before", during, before)
	}
	if after < before/2 {
		t.Errorf("the worker draws %.2f of sends after it has room again, %.2f before", after, before)
	}
}

// A worker that rejects a request has begun no load for it: the next request must not count on one.
func TestOverloadedAnswerBeganNoLoad(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	id, w := h.arriveAndSend(classIdempotent, 7)
	h.handle(AttemptEnded{Request: id, Worker: w, Outcome: WorkerOverloaded, Duration: ms})
	worker, r := h.policy.workers[w], h.policy.requests[id]
	if !h.policy.needsLoad(worker, r) {
		t.Errorf("a load is thought under way: %v left", h.policy.remainingLoadTime(worker, r))
	}
}

// Little time left is no reason to refuse what is most likely loaded at the preferred worker.
func TestShortDeadlineIsSentToLikelyWarmWorker(t *testing.T) {
	for left, want := range map[time.Duration]bool{20 * ms: false, 300 * ms: true} { // nothing runs in 20 ms
		t.Run(left.String(), func(t *testing.T) {
			cfg := testConfig()
			cfg.RouterCount = 40
			h := newHarness(t, cfg, 5)
			h.serve(7, 100*ms, InstanceWarm)
			h.policy.lastExploration = h.now
			actions := h.handle(RequestArrived{Request: 99, Function: 8, LoadTime: time.Second, TimeLeft: left})
			if hasAction[SendAttempt](actions) != want {
				t.Errorf("answered with %v", actions)
			}
		})
	}
}
