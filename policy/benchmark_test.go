package policy_test

import (
	"fmt"
	"testing"
	"time"

	"functionrouter/policy"
)

// BenchmarkRequest measures the policy's work for one request, from the arrival of the request to its answer, including
// one run of the housekeeping for every 4 requests. The requests are for 64 functions; workers serve a request after
// 100 ms, and 8 requests are in flight.
func BenchmarkRequest(b *testing.B) {
	for _, workers := range []int{12, 36, 144, 576} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkRequests(b, workers) })
	}
}

// The parameters of the benchmark's traffic, which has a constant rate.
const (
	benchmarkFunctions         = 64
	benchmarkInFlight          = 8
	benchmarkInterval          = 12500 * time.Microsecond // time between two arrivals
	benchmarkRunTime           = benchmarkInFlight * benchmarkInterval
	benchmarkDeadline          = 4 * time.Second
	arrivalsPerHousekeeping    = 4
	benchmarkHousekeepingToken = 0 // the token of the housekeeping timer
	arrivalsBeforeMeasuring    = 5000
)

func benchmarkRequests(b *testing.B, workers int) {
	b.Helper()
	traffic := newBenchmarkTraffic(b, workers)
	for range arrivalsBeforeMeasuring {
		traffic.step()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		traffic.step()
	}
}

// benchmarkTraffic passes requests at a constant rate, and their answers, to a policy.
type benchmarkTraffic struct {
	policy      *policy.Policy
	now         time.Duration
	lastRequest policy.RequestID
	inFlight    []policy.SendAttempt // oldest first
	actions     []policy.Action      // returned for the last event; the slice is reused
}

func newBenchmarkTraffic(b *testing.B, workers int) *benchmarkTraffic {
	b.Helper()
	p, err := policy.New(policy.Config{
		RouterCount: 4, Tick: 4 * time.Millisecond, MaxAttempts: 3, AllowCancel: true, OverQuotaWeight: 1,
		InstanceKeepAlive: 30 * time.Second, InstanceStatusInAnswers: true,
		Classes: []policy.Class{
			{LatencyObjective: 400 * time.Millisecond, Deadline: benchmarkDeadline, Idempotency: policy.Idempotent, PriorityWeight: 1},
			{LatencyObjective: 800 * time.Millisecond, Deadline: benchmarkDeadline, Idempotency: policy.NotIdempotent, PriorityWeight: 5},
		},
	}, 1)
	if err != nil {
		b.Fatal(err)
	}
	update := policy.EndpointUpdate{Kind: policy.FullUpdate}
	for i := range workers {
		update.Endpoints = append(update.Endpoints, policy.Endpoint{Worker: policy.WorkerID(i + 1), State: policy.Ready, Weight: 1})
	}
	t := &benchmarkTraffic{policy: p, now: time.Hour}
	t.actions = p.Handle(t.now, update, nil)
	return t
}

// step passes a new request to the policy, answers the oldest attempt if more than benchmarkInFlight are in flight, and
// fires the housekeeping timer once per arrivalsPerHousekeeping requests.
func (t *benchmarkTraffic) step() {
	t.lastRequest++
	t.now += benchmarkInterval
	t.actions = t.policy.Handle(t.now, policy.RequestArrived{
		Request: t.lastRequest, Class: int(t.lastRequest % 2), Function: policy.FunctionID(t.lastRequest % benchmarkFunctions),
		Concurrency: 4, LoadTime: 200 * time.Millisecond, TimeLeft: benchmarkDeadline,
	}, t.actions[:0])
	for _, action := range t.actions {
		if send, ok := action.(policy.SendAttempt); ok {
			t.inFlight = append(t.inFlight, send)
		}
	}
	if len(t.inFlight) > benchmarkInFlight {
		t.answerOldest()
	}
	if t.lastRequest%arrivalsPerHousekeeping == 0 {
		t.actions = t.policy.Handle(t.now, policy.TimerFired{Token: benchmarkHousekeepingToken}, t.actions[:0])
	}
}

func (t *benchmarkTraffic) answerOldest() {
	oldest := t.inFlight[0]
	t.inFlight = append(t.inFlight[:0], t.inFlight[1:]...)
	t.actions = t.policy.Handle(t.now, policy.AttemptEnded{
		Request: oldest.Request, Worker: oldest.Worker, Outcome: policy.Served,
		InstanceStatus: policy.InstanceWarm, RequestClosed: true, Duration: benchmarkRunTime,
	}, t.actions[:0])
}
