package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// What others queue at the one worker that has the function makes requests of less value give way there, and
// only there.
func TestShedsOnlyWhereOthersQueue(t *testing.T) {
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
		t.Errorf("%d of 100 sent where others queue, %d where none do", atBusy, atIdle)
	}
	h.now += 30 * time.Second
	if atBusy := sentOf100(busy, 7); atBusy < 95 {
		t.Errorf("%d of 100 sent after the queue is gone", atBusy)
	}
}

// A refusal tells when to come back where the settings allow it, within their limit and not all at once.
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
			waits := map[time.Duration]bool{}
			for range 100 {
				_, actions := h.arrive(classIdempotent, 7)
				refusal, ok := firstAction[RefuseRequest](actions)
				if !ok {
					continue
				}
				waits[refusal.RetryAfter] = true
				if tc.allowed != (refusal.RetryAfter > 0) || refusal.RetryAfter > cfg.MaxRetryAfter {
					t.Fatalf("retry after %v", refusal.RetryAfter)
				}
			}
			if tc.allowed && len(waits) < 5 {
				t.Errorf("all come back at once: %v", waits)
			}
		})
	}
}

// A tenant within its quota must not look beyond it by chance, however few requests of it a router gets.
func TestTenantWithinItsQuotaIsNotOverIt(t *testing.T) {
	cfg := testConfig()
	cfg.RouterCount, cfg.Tenants = 100, []Tenant{{QuotaPerSecond: 200}}
	h := newHarness(t, cfg, 5)
	rng := rand.New(rand.NewPCG(5, 5))
	overOf300 := func(perSecond float64) (n int) {
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
	if n := overOf300(1.6); n > 15 {
		t.Errorf("%d of 300 requests within the quota looked beyond it", n)
	}
	if n := overOf300(6); n < 120 {
		t.Errorf("only %d of 300 requests at three times the quota looked beyond it", n)
	}
}

// In overload a request that must wait for a load is late at best and gives way before one that is warm.
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
		t.Errorf("sent %d warm and %d cold requests", sentWarm, sentCold)
	}
}

// In overload the least value gives way first, and all is admitted again once the delay is gone.
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
		t.Errorf("sent %d of low value and %d of high", low, high)
	}
	for range 200 {
		id, actions := h.arrive(classNotIdempotent, 7)
		if s, ok := firstAction[SendAttempt](actions); ok {
			h.answer(id, s.Worker, InstanceWarm, 50*ms)
		}
	}
	if got := sentOf100(classIdempotent); got < 95 {
		t.Errorf("only %d of 100 admitted after the overload", got)
	}
}
