package policy

import (
	"math"
	"testing"
	"time"
)

// Own calls in flight say nothing of what other dispatchers queue at a worker: its answers do.
func TestOthersQueuesShowInTheScore(t *testing.T) {
	b := newHarness(t, testConfig(), 6)
	for range 10 {
		b.serveRequest(7, 100*ms, InstanceWarm)
	}
	w := b.serveRequest(7, 100*ms, InstanceWarm)
	b.serveRequest(7, 900*ms, InstanceWarm)
	b.serveRequest(7, 900*ms, InstanceWarm)
	other := b.policy.workers[w%6+1]
	other.instance(7).warmUntil = b.now + time.Minute // a second copy stands
	if got := b.serveRequest(7, 100*ms, InstanceWarm); got != other.Worker {
		t.Errorf("sent to %d again after two late answers", got)
	}
	before := b.policy.queueingDelay(b.policy.workers[w], 0)
	if idle := b.policy.queueingDelay(other, 0); before < idle+float64(50*ms) {
		t.Errorf("late answers predict %v, nothing known %v", before, idle)
	}
	b.now += 20 * time.Second
	b.handle(ProbeEnded{Worker: w})
	if after := b.policy.queueingDelay(b.policy.workers[w], 0); after > before/10 {
		t.Errorf("a queue is still believed in after 20 s: %v of %v", after, before)
	}
}

// Reports tell of others' queues even where no late answer did, and absurd ones tell nothing.
func TestReportsShowOthersQueues(t *testing.T) {
	cfg := testConfig()
	cfg.LoadReportFields, cfg.InlineLoadReports = []string{"inflight", "queue"}, true
	b := newHarness(t, cfg, 4)
	for k := range 20 { // 10 waiting mean 300 ms
		id, acts := b.arrive(0, 7)
		s, ok := firstAction[SendAttempt](acts)
		if !ok {
			t.Fatal("not sent")
		}
		b.now += 100 * ms
		took, queue := 100*ms, 0.0
		if k > 10 {
			took, queue = 400*ms, 10
		}
		b.now += took
		b.handle(AttemptEnded{Request: id, Worker: s.Worker, Outcome: Served, InstanceStatus: InstanceWarm, RequestClosed: true, Duration: took,
			LoadReport: []float64{queue + 3, queue}})
	}
	b.now += time.Minute
	b.handle(ProbeEnded{Worker: 1, LoadReport: []float64{33, 30}})
	b.handle(ProbeEnded{Worker: 2, LoadReport: []float64{3, 0}})
	full, idle := b.policy.queueingDelay(b.policy.workers[1], 0), b.policy.queueingDelay(b.policy.workers[2], 0)
	if full < idle+float64(150*ms) {
		t.Errorf("30 waiting predict %v, none %v", full, idle)
	}
	before := b.policy.queueingDelay(b.policy.workers[3], 0)
	for _, r := range [][]float64{nil, {1}, {math.NaN(), math.NaN()}, {-5, -5}, {math.Inf(-1), math.Inf(-1)}} {
		b.handle(ProbeEnded{Worker: 3, LoadReport: r})
	}
	if got := b.policy.queueingDelay(b.policy.workers[3], 0); got != before {
		t.Errorf("absurd reports predict %v", got)
	}
	b.handle(ProbeEnded{Worker: 3, LoadReport: []float64{1e300, 1e300}})
	if got := b.policy.queueingDelay(b.policy.workers[3], 0); got > outlierClip*float64(400*ms) {
		t.Errorf("a report far off predicts %v", got)
	}
	b.now += time.Minute
	b.handle(ProbeEnded{Worker: 3, LoadReport: []float64{3, 0}})
	if got := b.policy.queueingDelay(b.policy.workers[3], 0); got > float64(50*ms) {
		t.Errorf("a report far off is still believed after a minute: %v", got)
	}
}

// A first answer to a call with a tiny hint must not multiply all later estimates.
func TestHintsAreBelievedUntilAnswersAddUp(t *testing.T) {
	b := newHarness(t, testConfig(), 3)
	b.handle(RequestArrived{Request: 99, Function: 7, LoadTime: time.Second, WorkHint: ms, TimeLeft: 4 * time.Second})
	r := b.policy.requests[99]
	b.handle(AttemptEnded{Request: 99, Worker: r.attempts[0].worker.Worker, Outcome: Served, InstanceStatus: InstanceWarm, RequestClosed: true, Duration: 150 * ms})
	if got := b.policy.predictedRunTime(&request{RequestArrived: RequestArrived{WorkHint: 100 * ms}, function: r.function}); got > float64(200*ms) {
		t.Errorf("a hint of 100 ms counts as %v", time.Duration(got))
	}
}

// Work that takes a good part of its wanted time is not a queue: on idle workers nothing gives way to it.
func TestLongRunsAreNoStandingDelay(t *testing.T) {
	b := newHarness(t, testConfig(), 4)
	for range 200 {
		b.serveRequest(7, 280*ms, InstanceWarm) // of 400 ms wanted
	}
	if d := time.Duration(b.policy.standingDelay); d > 100*ms { // a quarter of the wanted time: where giving way begins
		t.Errorf("a standing delay of %v is seen where nothing queues", d)
	}
}
