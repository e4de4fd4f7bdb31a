package policy

import (
	"math"
	"testing"
	"time"
)

// queueingDelay returns the predicted queueing delay at a worker that has no request of this router in flight.
func (h *harness) queueingDelay(w WorkerID) nanoseconds {
	return h.policy.queueingDelay(h.policy.workers[w], 0)
}

// A router's own requests in flight do not show the queue of other routers' requests at a worker, but late answers do.
// After late answers, the policy must send the next request to another worker. 20 s later, it must predict at most a
// tenth of the earlier queueing delay at the worker.
func TestLateAnswersShowOtherRoutersQueues(t *testing.T) {
	h := newHarness(t, testConfig(), 6)
	for range 10 {
		h.serve(7, 100*ms, InstanceWarm)
	}
	w := h.serve(7, 100*ms, InstanceWarm)
	h.serve(7, 900*ms, InstanceWarm)
	h.serve(7, 900*ms, InstanceWarm)
	otherWorker := h.policy.workers[w%6+1]
	otherWorker.instance(7).warmUntil = h.now + time.Minute // a second instance
	if got := h.serve(7, 100*ms, InstanceWarm); got != otherWorker.id() {
		t.Errorf("sent to worker %d after two late answers, want %d", got, otherWorker.id())
	}
	delayBefore := h.queueingDelay(w)
	if idle := h.queueingDelay(otherWorker.id()); delayBefore < idle+nanoseconds(50*ms) {
		t.Errorf("predicted queueing delay: %.0f ns after late answers, %.0f ns at the other worker, want at least 50 ms more after late answers",
			delayBefore, idle)
	}
	h.now += 20 * time.Second
	h.handle(HealthCheckEnded{Worker: w})
	if after := h.queueingDelay(w); after > delayBefore/10 {
		t.Errorf("after 20 s, the predicted queueing delay is %.0f ns, want at most a tenth of the earlier %.0f ns", after, delayBefore)
	}
}

// A load report of a long queue must raise the predicted queueing delay at a worker even if the worker gave no late
// answer. Reports with missing or negative values or with NaN must not change the prediction. A report of an
// implausibly long queue must raise the predicted delay by a limited amount only, and the delay must be short again
// after a later report of an empty queue.
func TestLoadReportsShowOtherRoutersQueues(t *testing.T) {
	cfg := testConfig()
	cfg.LoadReportFields, cfg.InlineLoadReports = []string{"inflight", "queue"}, true
	h := newHarness(t, cfg, 4)
	for k := range 20 { // a reported queue of 10 delays an answer by 300 ms
		id, w := h.arriveAndSend(classIdempotent, 7)
		h.now += 100 * ms
		duration, queued := 100*ms, 0.0
		if k > 10 {
			duration, queued = 400*ms, 10
		}
		h.now += duration
		h.handle(AttemptEnded{
			Request: id, Worker: w, Outcome: Served, InstanceStatus: InstanceWarm, RequestClosed: true,
			Duration: duration, LoadReport: []float64{queued + 3, queued},
		})
	}
	h.now += time.Minute
	h.handle(HealthCheckEnded{Worker: 1, LoadReport: []float64{33, 30}})
	h.handle(HealthCheckEnded{Worker: 2, LoadReport: []float64{3, 0}})
	if full, idle := h.queueingDelay(1), h.queueingDelay(2); full < idle+nanoseconds(150*ms) {
		t.Errorf("predicted queueing delay: %.0f ns with a reported queue of 30, %.0f ns with 0, want at least 150 ms more with 30",
			full, idle)
	}
	delayBefore := h.queueingDelay(3)
	for _, report := range [][]float64{nil, {1}, {math.NaN(), math.NaN()}, {-5, -5}, {math.Inf(-1), math.Inf(-1)}} {
		h.handle(HealthCheckEnded{Worker: 3, LoadReport: report})
	}
	if got := h.queueingDelay(3); got != delayBefore {
		t.Errorf("after implausible reports, the predicted queueing delay is %.0f ns, want %.0f ns", got, delayBefore)
	}
	h.handle(HealthCheckEnded{Worker: 3, LoadReport: []float64{1e300, 1e300}})
	if got := h.queueingDelay(3); got > outlierClip*nanoseconds(400*ms) {
		t.Errorf("after a report of 1e300 queued requests, the predicted queueing delay is %.0f ns, want at most %.0f ns",
			got, outlierClip*nanoseconds(400*ms))
	}
	h.now += time.Minute
	h.handle(HealthCheckEnded{Worker: 3, LoadReport: []float64{3, 0}})
	if got := h.queueingDelay(3); got > nanoseconds(50*ms) {
		t.Errorf("a minute after a report of 1e300 queued requests, the predicted queueing delay is %.0f ns, want at most 50 ms", got)
	}
}

// Guards against a distorted ratio of real to hinted run times: if the first answered request had a hint that was far
// too short, later predictions from hints must not become far too long.
func TestFirstAnswerDoesNotDistortWorkHints(t *testing.T) {
	h := newHarness(t, testConfig(), 3)
	h.handle(RequestArrived{Request: 99, Function: 7, LoadTime: time.Second, WorkHint: ms, TimeLeft: 4 * time.Second})
	r := h.policy.requests[99]
	h.answer(99, r.attempts[0].worker.id(), InstanceWarm, 150*ms)
	hinted := &request{arrived: RequestArrived{WorkHint: 100 * ms}, function: r.function}
	if got := h.policy.predictedRunTime(hinted); got > nanoseconds(200*ms) {
		t.Errorf("a hint of 100 ms predicts a run time of %v, want at most 200 ms", time.Duration(got))
	}
}

// Guards against load shedding at idle workers: the policy must not take a long run time, which uses a large part of
// the latency objective, for a standing delay.
func TestLongRunTimesAreNoStandingDelay(t *testing.T) {
	h := newHarness(t, testConfig(), 4)
	for range 200 {
		h.serve(7, 280*ms, InstanceWarm) // of an objective of 400 ms
	}
	// For a class of lower value, shedding begins at a quarter of the objective (shedStartLowerValue).
	if d := time.Duration(h.policy.estimates.standingDelay); d > 100*ms {
		t.Errorf("the standing delay is %v although no request queues, want at most %v", d, 100*ms)
	}
}
