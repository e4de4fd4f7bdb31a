package policy_test

import (
	"fmt"
	"testing"
	"time"

	"functionrouter/policy"
)

// BenchmarkRequest measures a request from its arrival to its answer, housekeeping included, in a fleet whose workers
// serve a request for one of 64 functions after 100 ms, with 8 requests in flight.
func BenchmarkRequest(b *testing.B) {
	for _, workers := range []int{12, 36, 144, 576} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkRequests(b, workers) })
	}
}

func benchmarkRequests(b *testing.B, workers int) {
	const (
		functions           = 64
		inFlight            = 8
		interval            = 12500 * time.Microsecond // between two arrivals
		housekeepingEvery   = 4                        // arrivals
		runTime             = inFlight * interval
		housekeepingToken   = 0
		deadline            = 4 * time.Second
		answersBeforeTiming = 5000
	)
	p, err := policy.New(policy.Config{
		RouterCount: 4, Tick: 4 * time.Millisecond, MaxAttempts: 3, AllowCancel: true, OverQuotaWeight: 1,
		InstanceKeepAlive: 30 * time.Second, InstanceStatusInAnswers: true,
		Classes: []policy.Class{
			{LatencyObjective: 400 * time.Millisecond, Deadline: deadline, Idempotency: policy.Idempotent, PriorityWeight: 1},
			{LatencyObjective: 800 * time.Millisecond, Deadline: deadline, Idempotency: policy.NotIdempotent, PriorityWeight: 5},
		},
	}, 1)
	if err != nil {
		b.Fatal(err)
	}
	update := policy.EndpointUpdate{Kind: policy.FullUpdate}
	for i := range workers {
		update.Endpoints = append(update.Endpoints, policy.Endpoint{Worker: policy.WorkerID(i + 1), State: policy.Ready, Weight: 1})
	}
	now := time.Hour
	actions := p.Handle(now, update, nil)
	var sent []policy.SendAttempt // in flight, oldest first
	var next policy.RequestID
	step := func() {
		next++
		now += interval
		actions = p.Handle(now, policy.RequestArrived{
			Request: next, Class: int(next % 2), Function: policy.FunctionID(next % functions), Concurrency: 4,
			LoadTime: 200 * time.Millisecond, TimeLeft: deadline,
		}, actions[:0])
		for _, action := range actions {
			if send, ok := action.(policy.SendAttempt); ok {
				sent = append(sent, send)
			}
		}
		if len(sent) > inFlight {
			oldest := sent[0]
			sent = append(sent[:0], sent[1:]...)
			actions = p.Handle(now, policy.AttemptEnded{
				Request: oldest.Request, Worker: oldest.Worker, Outcome: policy.Served,
				InstanceStatus: policy.InstanceWarm, RequestClosed: true, Duration: runTime,
			}, actions[:0])
		}
		if next%housekeepingEvery == 0 {
			actions = p.Handle(now, policy.TimerFired{Token: housekeepingToken}, actions[:0])
		}
	}
	for range answersBeforeTiming {
		step()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		step()
	}
}
