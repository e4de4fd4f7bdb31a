package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestRequestsStayAtWarmWorker(t *testing.T) {
	h := newHarness(t, testConfig(), 6)
	w := h.serve(7, 1100*ms, LoadStarted)
	for range 20 {
		if got := h.serve(7, 80*ms, InstanceWarm); got != w {
			t.Fatalf("the function is warm at worker %d, but the request was sent to worker %d", w, got)
		}
	}
	h.now += 11 * time.Second // longer than the keep-alive
	if i := h.policy.workers[w].instances[7]; i != nil && h.now < i.warmUntil {
		t.Errorf("the policy assumes the instance to be warm until %v, want no time after %v", i.warmUntil, h.now)
	}
}

// sendWithConcurrency1 passes the policy a request for function 7, whose instances run one request at a time. It
// returns the request's id and the worker.
func (h *harness) sendWithConcurrency1() (RequestID, WorkerID) {
	h.t.Helper()
	h.lastRequest++
	return h.lastRequest, h.sentTo(h.handle(RequestArrived{
		Request: h.lastRequest, Function: 7, Concurrency: 1,
		LoadTime: time.Second, TimeLeft: 4 * time.Second,
	}))
}

// Guards against needless instances, which cost memory and cause traffic at the store that functions are loaded from:
// if the instance at a worker is busy, the policy must send the request to a free instance at another worker, because
// the first worker might load another instance. The policy takes the largest number of requests that a worker has
// served at the same time as the concurrency of its instances. A miss shows that the function is not loaded and resets
// this number.
func TestPrefersInstanceWithFreeConcurrency(t *testing.T) {
	h := newHarness(t, testConfig(), 2)
	for _, w := range []WorkerID{1, 2} { // both have an instance; the queueing delay at worker 2 is longer by 20 ms
		h.policy.workers[w].instance(7).warmUntil = h.now + 10*time.Second
		h.policy.workers[w].queue.excessDelay.observe(h.now, float64(w-1)*float64(20*ms))
	}
	firstID, firstWorker := h.sendWithConcurrency1()
	secondID, secondWorker := h.sendWithConcurrency1()
	if firstWorker != 1 || secondWorker != 2 {
		t.Fatalf("first request sent to worker %d, second to worker %d, want 1 and 2", firstWorker, secondWorker)
	}
	h.now += 80 * ms
	h.answer(firstID, firstWorker, InstanceWarm, 80*ms)
	h.now += 80 * ms
	h.answer(secondID, secondWorker, InstanceWarm, 80*ms)
	h.policy.workers[1].instance(7).concurrency = 2 // two requests were served at the same time
	h.policy.workers[2].queue.excessDelay.observe(h.now, float64(100*ms))
	if _, w := h.sendWithConcurrency1(); w != 1 {
		t.Fatalf("sent to worker %d, want 1", w)
	}
	id, w := h.sendWithConcurrency1()
	if w != 1 {
		t.Fatalf("sent to worker %d, want 1, which has served 2 requests at the same time", w)
	}
	h.fail(id, 0, 1, FunctionNotLoaded)
	if n := h.policy.workers[1].instance(7).concurrency; n != 0 {
		t.Errorf("the concurrency is %d after a miss, want 0", n)
	}
}

// Guards against loads of one function at several workers: the policy must also send the requests that arrive while the
// preferred worker loads the function to this worker.
func TestRequestsWaitForLoadUnderWay(t *testing.T) {
	for routers := 1; routers <= 4; routers++ {
		cfg := testConfig()
		cfg.RouterCount = routers
		h := newHarness(t, cfg, 6)
		// With the work of 6 busy workers as served work, the function's share of the work requires one worker.
		h.policy.estimates.servedWork = 6 * nanoseconds(rateTimeConstant)
		sends := map[WorkerID]int{}
		for range 4 { // as many requests as one instance runs at the same time
			_, w := h.arriveAndSend(classIdempotent, 7)
			sends[w]++
			h.now += 20 * ms
		}
		if len(sends) != 1 {
			t.Errorf("%d routers: requests for one function were sent to %d workers, want 1", routers, len(sends))
		}
	}
}

// The routers must together spread a popular function over several workers, although each router gets only a few of the
// requests for it. All routers must send the requests for a rare function to the same worker.
func TestPopularFunctionSpreadsAndRareOneDoesNot(t *testing.T) {
	cfg := testConfig()
	cfg.RouterCount = 50
	popularWorkers, rareWorkers := map[WorkerID]bool{}, map[WorkerID]bool{}
	for seed := range uint64(50) {
		h := newHarness(t, cfg, 20)
		h.policy.replicaSeed, h.policy.rng = seed, rand.New(rand.NewPCG(seed, 2))
		for k := range 30 {
			f := FunctionID(1000 + k)
			if k%3 == 0 {
				f = 7 // gets a third of all requests, which requires a third of the fleet
			}
			h.now += 300 * ms
			w := h.serve(f, 30*ms, InstanceWarm)
			h.policy.workers[w].instances[f].warmUntil = h.now // as at a router to which the instance is unknown
			if k > 15 && f == 7 {
				popularWorkers[w] = true
			}
		}
		h.now += time.Minute
		rareWorkers[h.serve(9, 30*ms, InstanceWarm)] = true
	}
	if len(popularWorkers) < 4 || len(popularWorkers) > 14 {
		t.Errorf("the popular function was sent to %d of 20 workers, want 4 to 14", len(popularWorkers))
	}
	if len(rareWorkers) != 1 {
		t.Errorf("a rare function was sent to %d workers, want 1", len(rareWorkers))
	}
}

// routerFleet is a set of routers that share workers and do not see each other's requests.
type routerFleet struct {
	routers   []*harness
	preferred WorkerID         // the worker that gets most requests for function 7 before the overload
	sends     map[WorkerID]int // number of first attempts for function 7
}

func newRouterFleet(t *testing.T, routers, workers int) *routerFleet {
	t.Helper()
	cfg := testConfig()
	cfg.RouterCount, cfg.InstanceStatusInAnswers = routers, false
	fleet := &routerFleet{sends: map[WorkerID]int{}}
	for seed := range uint64(routers) {
		h := newHarness(t, cfg, workers)
		h.policy.replicaSeed, h.policy.rng = seed, rand.New(rand.NewPCG(seed, 9))
		fleet.routers = append(fleet.routers, h)
	}
	return fleet
}

// passRequests passes each router 24 requests, with a pause of 500 ms before each, which makes 12 s of pauses. The
// first request is for function 7. The time to the next request for function 7, in the next call of passRequests,
// exceeds the keep-alive time of an instance, so no router assumes that the function is warm. If overloaded is true,
// the preferred worker rejects the requests for function 7. passRequests returns the share of the first attempts for
// function 7 that were sent to the preferred worker.
func (fleet *routerFleet) passRequests(overloaded bool) float64 {
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
			fleet.endAttempts(h, id, actions, overloaded && f == 7)
		}
	}
	return float64(toPreferred) / float64(sends)
}

// endAttempts ends up to three attempts of a request. If preferredRejects is true, the preferred worker rejects an
// attempt after 5 ms. In all other cases, the worker serves the attempt after 60 ms.
func (fleet *routerFleet) endAttempts(h *harness, id RequestID, actions []Action, preferredRejects bool) {
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

// A function's preferred worker rejects requests because of overload while the other workers have free capacity. Many
// routers, which do not see each other's requests, must together reduce the worker's share of the first attempts to at
// most a third of its earlier share within 4 calls of passRequests. Within 40 calls of passRequests after the overload,
// the share must reach at least half of its earlier value.
func TestRequestsLeaveOverloadedWorkerAndReturn(t *testing.T) {
	fleet := newRouterFleet(t, 60, 20)
	for range 5 {
		fleet.passRequests(false)
	}
	for w := WorkerID(1); w <= 20; w++ {
		if fleet.sends[w] > fleet.sends[fleet.preferred] {
			fleet.preferred = w
		}
	}
	shareBefore := fleet.passRequests(false)
	for range 4 {
		fleet.passRequests(true)
	}
	shareDuring := fleet.passRequests(true)
	for range 40 {
		fleet.passRequests(false)
	}
	shareAfter := fleet.passRequests(false)
	t.Logf("share of first attempts at the preferred worker: %.2f before, %.2f during and %.2f after the overload",
		shareBefore, shareDuring, shareAfter)
	if shareDuring > shareBefore/3 {
		t.Errorf("during the overload, the worker got %.2f of the first attempts, want at most a third of the %.2f before it",
			shareDuring, shareBefore)
	}
	if shareAfter < shareBefore/2 {
		t.Errorf("after the overload, the worker got %.2f of the first attempts, want at least half of the %.2f before it",
			shareAfter, shareBefore)
	}
}

// A worker that rejects a request because of overload starts no load for the request. The policy must not assume that a
// load is under way.
func TestOverloadedAnswerStartsNoLoad(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	id, w := h.arriveAndSend(classIdempotent, 7)
	h.handle(AttemptEnded{Request: id, Worker: w, Outcome: WorkerOverloaded, Duration: ms})
	worker, r := h.policy.workers[w], h.policy.requests[id]
	if !h.policy.needsLoad(worker, r) {
		t.Errorf("the policy assumes that a load with %.0f ns left is under way, want none", h.policy.remainingLoadTime(worker, r))
	}
}

// Guards against a needless refusal: if a request has less time left than a load takes, but its function is likely warm
// at the preferred worker, the policy must send the request if the time left is enough without a load.
func TestRequestWithShortDeadlineIsSentToLikelyWarmWorker(t *testing.T) {
	for timeLeft, want := range map[time.Duration]bool{20 * ms: false, 300 * ms: true} { // 20 ms is too short for a run
		t.Run(timeLeft.String(), func(t *testing.T) {
			cfg := testConfig()
			cfg.RouterCount = 40
			h := newHarness(t, cfg, 5)
			h.serve(7, 100*ms, InstanceWarm)
			h.policy.lastExploration = h.now
			actions := h.handle(RequestArrived{Request: 99, Function: 8, LoadTime: time.Second, TimeLeft: timeLeft})
			if hasAction[SendAttempt](actions) != want {
				t.Errorf("sent: %v, want %v; actions: %v", !want, want, actions)
			}
		})
	}
}
