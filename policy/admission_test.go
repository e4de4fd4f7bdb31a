package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against load shedding at the wrong workers: if other routers' requests queue at one worker, the policy must
// shed requests of lower value only if it would send them to this worker, and only while the queue lasts.
func TestShedsOnlyAtWorkerWithQueueOfOtherRouters(t *testing.T) {
	cfg := testConfig()
	cfg.RouterCount = 50
	h := newHarness(t, cfg, 2)
	sentOf100 := func(w *worker, f FunctionID) (n int) {
		w.instance(f).warmUntil = h.now + time.Minute
		for range 100 {
			id, actions := h.arrive(classIdempotent, f)
			if hasAction[SendAttempt](actions) {
				n++
				h.handle(AttemptEnded{Request: id, Worker: w.id(), Outcome: Cancelled, RequestClosed: true})
			}
		}
		return n
	}
	busy, idle := h.policy.workers[1], h.policy.workers[2]
	for range 10 {
		busy.queue.excessDelay.observe(h.now, float64(250*ms))
	}
	if atBusy, atIdle := sentOf100(busy, 7), sentOf100(idle, 8); atBusy > 60 || atIdle < 95 {
		t.Errorf("sent %d of 100 requests to the busy worker, want at most 60, and %d to the idle worker, want at least 95",
			atBusy, atIdle)
	}
	h.now += 30 * time.Second
	if atBusy := sentOf100(busy, 7); atBusy < 95 {
		t.Errorf("after the queue has drained, sent %d of 100 requests to the busy worker, want at least 95", atBusy)
	}
}

// A refusal carries a Retry-After if the settings allow it. It is at most MaxRetryAfter and partly random, so that
// refused clients do not all retry at the same time.
func TestRefusalsCarryRetryAfter(t *testing.T) {
	for _, tc := range []struct {
		name    string
		allowed bool
		delay   time.Duration
	}{
		{"allowed, short delay", true, 150 * ms},
		{"allowed, delay beyond the limit", true, 900 * ms},
		{"not allowed, short delay", false, 150 * ms},
		{"not allowed, delay beyond the limit", false, 900 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.AllowRetryAfter, cfg.MaxRetryAfter = tc.allowed, 300*ms
			h := newHarness(t, cfg, 3)
			h.policy.estimates.standingDelay = nanoseconds(tc.delay)
			h.policy.lastExploration = h.now
			retryAfters := map[time.Duration]bool{}
			for range 100 {
				_, actions := h.arrive(classIdempotent, 7)
				refusal, ok := firstAction[RefuseRequest](actions)
				if !ok {
					continue
				}
				retryAfters[refusal.RetryAfter] = true
				if tc.allowed != (refusal.RetryAfter > 0) || refusal.RetryAfter > cfg.MaxRetryAfter {
					t.Fatalf("Retry-After is %v (allowed: %v), want 0 if it is not allowed, otherwise more than 0 and at most %v",
						refusal.RetryAfter, tc.allowed, cfg.MaxRetryAfter)
				}
			}
			if tc.allowed && len(retryAfters) < 5 {
				t.Errorf("%d different values of Retry-After, want at least 5: %v", len(retryAfters), retryAfters)
			}
		})
	}
}

// Guards against refusals of requests of a tenant that keeps to its quota: each of many routers gets only a few of the
// tenant's requests, and because of the random variation of the arrivals, a router could take many of these requests
// for requests beyond the quota.
func TestTenantWithinQuotaIsNotOverQuota(t *testing.T) {
	cfg := testConfig()
	cfg.RouterCount, cfg.Tenants = 100, []Tenant{{QuotaPerSecond: 200}}
	h := newHarness(t, cfg, 5)
	rng := rand.New(rand.NewPCG(5, 5))
	overQuotaOf300 := func(perSecond float64) (n int) {
		for range 300 {
			h.now += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
			h.lastRequest++
			h.handle(RequestArrived{Request: h.lastRequest, Function: 7, LoadTime: time.Second, TimeLeft: 4 * time.Second})
			r := h.policy.requests[h.lastRequest]
			if r == nil || r.overQuota {
				n++
			}
			if r != nil && len(r.attempts) > 0 {
				h.answer(h.lastRequest, r.attempts[0].worker.id(), InstanceWarm, 50*ms)
			}
		}
		return n
	}
	if n := overQuotaOf300(1.6); n > 15 {
		t.Errorf("at a rate within the quota, %d of 300 requests were refused or marked as beyond it, want at most 15", n)
	}
	if n := overQuotaOf300(6); n < 120 {
		t.Errorf("at three times the quota, %d of 300 requests were refused or marked as beyond it, want at least 120", n)
	}
}

// In overload, requests that must wait for a load are shed before requests for a warm function, because the requests
// that wait are predicted to miss their latency objective.
func TestShedsLateRequestsFirst(t *testing.T) {
	h := newHarness(t, testConfig(), 4)
	h.serve(7, 1100*ms, LoadStarted)
	sentWarm, sentCold := 0, 0
	for n := range 200 {
		h.policy.estimates.standingDelay = nanoseconds(220 * ms)
		f, sent := FunctionID(7), &sentWarm
		if n%2 == 0 {
			f, sent = FunctionID(1000+n), &sentCold
		}
		id, actions := h.arrive(classNotIdempotent, f)
		if s, ok := firstAction[SendAttempt](actions); ok {
			*sent++
			h.answer(id, s.Worker, LoadStarted, 900*ms)
		}
	}
	if sentWarm < sentCold+15 {
		t.Errorf("sent %d requests for a warm function and %d that need a load, want at least 15 more of the former",
			sentWarm, sentCold)
	}
}

// In overload, requests of low value are shed before requests of high value. After answers without a delay, nearly all
// requests of low value must be sent again.
func TestShedsLeastValueFirstAndRecovers(t *testing.T) {
	h := newHarness(t, testConfig(), 4)
	sentOf100 := func(class int) (sent int) {
		for range 100 {
			id, actions := h.arrive(class, 7)
			if s, ok := firstAction[SendAttempt](actions); ok {
				sent++
				h.answer(id, s.Worker, LoadStarted, 10*ms)
			}
		}
		return sent
	}
	h.policy.estimates.standingDelay = nanoseconds(220 * ms)
	low, high := sentOf100(classIdempotent), sentOf100(classNotIdempotent)
	if low >= high || low == 0 {
		t.Errorf("sent %d of 100 requests of low value and %d of 100 of high value, want more of high value and some of low value",
			low, high)
	}
	for range 200 {
		id, actions := h.arrive(classNotIdempotent, 7)
		if s, ok := firstAction[SendAttempt](actions); ok {
			h.answer(id, s.Worker, InstanceWarm, 50*ms)
		}
	}
	if got := sentOf100(classIdempotent); got < 95 {
		t.Errorf("after the overload, sent %d of 100 requests of low value, want at least 95", got)
	}
}
