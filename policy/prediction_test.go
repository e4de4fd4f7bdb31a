package policy

import (
	"math"
	"testing"
	"time"
)

// queueing returns the queueing delay that is predicted at an otherwise idle worker.
func (h *harness) queueing(w WorkerID) nanoseconds {
	return h.policy.queueingDelay(h.policy.workers[w], 0)
}

// Our requests in flight say nothing of what other routers queue at a worker: its answers do.
func TestScoreShowsOtherRoutersQueues(t *testing.T) {
	h := newHarness(t, testConfig(), 6)
	for range 10 {
		h.serve(7, 100*ms, InstanceWarm)
	}
	w := h.serve(7, 100*ms, InstanceWarm)
	h.serve(7, 900*ms, InstanceWarm)
	h.serve(7, 900*ms, InstanceWarm)
	other := h.policy.workers[w%6+1]
	other.instance(7).warmUntil = h.now + time.Minute // a second instance
	if got := h.serve(7, 100*ms, InstanceWarm); got != other.id() {
		t.Errorf("sent to %d again after two late answers", got)
	}
	before := h.queueing(w)
	if idle := h.queueing(other.id()); before < idle+nanoseconds(50*ms) {
		t.Errorf("late answers predict %v, nothing known %v", before, idle)
	}
	h.now += 20 * time.Second
	h.handle(HealthCheckEnded{Worker: w})
	if after := h.queueing(w); after > before/10 {
		t.Errorf("a queue is still believed in after 20 s: %v of %v", after, before)
	}
}

// Load reports tell of other routers' queues even where no late answer did; implausible ones tell nothing.
func TestLoadReportsShowOtherRoutersQueues(t *testing.T) {
	cfg := testConfig()
	cfg.LoadReportFields, cfg.InlineLoadReports = []string{"inflight", "queue"}, true
	h := newHarness(t, cfg, 4)
	for k := range 20 { // a queue of 10 means 300 ms
		id, w := h.arriveAndSend(classIdempotent, 7)
		h.now += 100 * ms
		took, queue := 100*ms, 0.0
		if k > 10 {
			took, queue = 400*ms, 10
		}
		h.now += took
		h.handle(AttemptEnded{
			Request: id, Worker: w, Outcome: Served, InstanceStatus: InstanceWarm, RequestClosed: true,
			Duration: took, LoadReport: []float64{queue + 3, queue},
		})
	}
	h.now += time.Minute
	h.handle(HealthCheckEnded{Worker: 1, LoadReport: []float64{33, 30}})
	h.handle(HealthCheckEnded{Worker: 2, LoadReport: []float64{3, 0}})
	if full, idle := h.queueing(1), h.queueing(2); full < idle+nanoseconds(150*ms) {
		t.Errorf("a queue of 30 predicts %v, of 0 %v", full, idle)
	}
	before := h.queueing(3)
	for _, report := range [][]float64{nil, {1}, {math.NaN(), math.NaN()}, {-5, -5}, {math.Inf(-1), math.Inf(-1)}} {
		h.handle(HealthCheckEnded{Worker: 3, LoadReport: report})
	}
	if got := h.queueing(3); got != before {
		t.Errorf("implausible reports predict %v", got)
	}
	h.handle(HealthCheckEnded{Worker: 3, LoadReport: []float64{1e300, 1e300}})
	if got := h.queueing(3); got > outlierClip*nanoseconds(400*ms) {
		t.Errorf("a report far off predicts %v", got)
	}
	h.now += time.Minute
	h.handle(HealthCheckEnded{Worker: 3, LoadReport: []float64{3, 0}})
	if got := h.queueing(3); got > nanoseconds(50*ms) {
		t.Errorf("a report far off is still believed after a minute: %v", got)
	}
}

// The first answer to a request with a tiny hint must not multiply all later estimates.
func TestFirstAnswerDoesNotDistortWorkHints(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	h.handle(RequestArrived{Request: 99, Function: 7, LoadTime: time.Second, WorkHint: ms, TimeLeft: 4 * time.Second})
	r := h.policy.requests[99]
	h.answer(99, r.attempts[0].worker.id(), InstanceWarm, 150*ms)
	hinted := &request{arrived: RequestArrived{WorkHint: 100 * ms}, function: r.function}
	if got := h.policy.predictedRunTime(hinted); got > nanoseconds(200*ms) {
		t.Errorf("a hint of 100 ms counts as %v", time.Duration(got))
	}
}

// Work that takes a good part of its latency objective is not a queue: on idle workers nothing is shed for it.
func TestLongRunTimesAreNoStandingDelay(t *testing.T) {
	h := newHarness(t, testConfig(), 4)
	for range 200 {
		h.serve(7, 280*ms, InstanceWarm) // of an objective of 400 ms
	}
	if d := time.Duration(h.policy.estimates.standingDelay); d > 100*ms { // a quarter of the objective: where shedding begins
		t.Errorf("a standing delay of %v is seen where nothing queues", d)
	}
}
