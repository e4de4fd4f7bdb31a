package router

import (
	"fmt"
	"testing"
	"time"

	"functionrouter/policy"
)

// Guards the graceful shutdown: clients that go on sending get a refusal each, and don't hold it up.
func TestRouterRefusesNewRequestsAfterStopAdmitting(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	addReadyWorkers(r, 1)
	r.StopAdmitting()
	_, responder := submit(r, notIdempotentClass)
	r.Process(testStart)
	if resp := responder.singleResponse(t); resp.Status != Refused || resp.MayHaveRun {
		t.Errorf("answer %+v", resp)
	}
	if r.OpenRequests() != 0 || len(workers.openAttempts) != 0 {
		t.Errorf("%d requests and %d attempts open", r.OpenRequests(), len(workers.openAttempts))
	}
}

// Guards against two open requests of one id, by whatever frontends and connections they arrive: the later one
// fails and reaches no worker, and the id is free again once the first has ended.
func TestDuplicateIDOfOpenRequestFails(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	addReadyWorkers(r, 1)
	submitSameID := func(f Frontend, body string) (policy.RequestID, *recordingResponder) {
		responder := &recordingResponder{}
		return r.Submit(testStart, Request{
			Frontend: f, Responder: responder, ID: "00000000000000aa", Function: 7,
			Body: []byte(body), Deadline: testStart + 2*time.Second,
		}), responder
	}
	first, firstResponder := submitSameID(Thrift, "one")
	r.Process(testStart)
	for _, f := range []Frontend{Thrift, Webhook} {
		t.Run(f.String(), func(t *testing.T) {
			id, duplicateResponder := submitSameID(f, "other")
			r.Process(testStart)
			if resp := duplicateResponder.singleResponse(t); id != 0 || resp.Status != Failed || r.OpenRequests() != 1 {
				t.Fatalf("request %d has answer %+v, %d open", id, resp, r.OpenRequests())
			}
		})
	}
	r.AttemptEnded(workers.sent[first][0], AttemptResult{Outcome: policy.Served, InstanceStatus: policy.InstanceWarm, Body: []byte("done")})
	r.Process(testStart + ms)
	if resp := firstResponder.singleResponse(t); string(resp.Body) != "done" || len(workers.sent) != 1 {
		t.Fatalf("answer %+v, %d requests sent", resp, len(workers.sent))
	}
	if kept := len(r.requests.clientIDs) + len(r.requests.byID); kept != 0 {
		t.Fatalf("%d entries kept of requests that have ended", kept)
	}
	if id, _ := submitSameID(Thrift, "again"); id == 0 {
		t.Error("the id of a request that has ended is still taken")
	}
}

// Guards tenants' quotas: the policy learns whose request it is. Of a tenant without a quota, one request that will
// be late is admitted and the next ones are refused, while those of another tenant and of none go on.
func TestPolicyReceivesTenant(t *testing.T) {
	for tenant, want := range map[int]int{0: 1, 1: 5, UnknownTenant: 5} {
		t.Run(fmt.Sprint(tenant), func(t *testing.T) {
			p, err := policy.New(policy.Config{
				RouterCount: 1, Tick: 4 * ms, OverQuotaWeight: 0.1,
				Tenants: []policy.Tenant{{}, {QuotaPerSecond: 1000}},
				Classes: []policy.Class{{LatencyObjective: 400 * ms, Deadline: 9 * time.Second, PriorityWeight: 1}},
			}, 1)
			if err != nil {
				t.Fatal(err)
			}
			r, workers := newRouterWithFakePool(p, Limits{MaxOpenRequests: 50, MaxBodyBytes: 1 << 16})
			addReadyWorkers(r, 1)
			for n := range 5 {
				r.Submit(testStart, Request{
					Responder: &recordingResponder{}, ID: fmt.Sprint(n), Tenant: tenant,
					Function: policy.FunctionID(n), LoadTime: time.Second, Deadline: testStart + 9*time.Second,
				})
			}
			r.Process(testStart)
			if len(workers.openAttempts) != want {
				t.Errorf("%d requests of 5 were sent, want %d", len(workers.openAttempts), want)
			}
		})
	}
}

// Guards what the notices and the flow records are made from: each end is reported once, with its outcome.
func TestRequestEndIsReportedOnce(t *testing.T) {
	serve := func(r *Router, w *fakeWorkerPool, id policy.RequestID) {
		r.AttemptEnded(w.sent[id][0], AttemptResult{Outcome: policy.Served, InstanceStatus: policy.InstanceWarm})
	}
	reset := func(r *Router, w *fakeWorkerPool, id policy.RequestID) {
		r.AttemptEnded(w.sent[id][0], AttemptResult{Outcome: policy.ConnectionReset})
	}
	cancel := func(r *Router, _ *fakeWorkerPool, id policy.RequestID) { r.Cancel(testStart, id, ClientInterrupted) }
	refuse := func(r *Router, _ *fakeWorkerPool, id policy.RequestID) { r.execute(policy.RefuseRequest{Request: id}) }
	for _, test := range []struct {
		want RequestOutcome
		end  func(*Router, *fakeWorkerPool, policy.RequestID)
	}{
		{RequestServed, serve},
		{RequestRefused, refuse},
		{RequestFailed, reset},
		{RequestCancelled, cancel},
	} {
		t.Run(test.want.String(), func(t *testing.T) {
			r, workers := newTestRouter(t, 1)
			var got []RequestOutcome
			r.onRequestEnd = func(_ time.Duration, _ *Request, o RequestOutcome) { got = append(got, o) }
			addReadyWorkers(r, 1)
			id, _ := submit(r, notIdempotentClass)
			r.Process(testStart)
			test.end(r, workers, id)
			r.Process(testStart + ms)
			if len(got) != 1 || got[0] != test.want {
				t.Errorf("reported %v, want once %v", got, test.want)
			}
		})
	}
}

// Guards the memory: beyond either limit a request is refused at once, with a Retry-After, until another has ended.
func TestLimitsBoundOpenRequests(t *testing.T) {
	for _, test := range []struct {
		name     string
		limits   Limits
		bodySize int
	}{
		{"open requests", Limits{MaxOpenRequests: 2, MaxBodyBytes: 1000}, 10},
		{"body bytes", Limits{MaxOpenRequests: 10, MaxBodyBytes: 250}, 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, _ := newTestRouter(t, 1)
			r.limits = test.limits
			r.limits.RetryAfter = 50 * ms
			submitNext := func() (policy.RequestID, *recordingResponder) {
				responder := &recordingResponder{}
				return r.Submit(testStart, Request{
					Responder: responder, ID: fmt.Sprint(r.Counters.Received[Thrift]),
					Body: make([]byte, test.bodySize), Deadline: testStart + time.Second,
				}), responder
			}
			first, _ := submitNext()
			second, _ := submitNext()
			third, responder := submitNext()
			if first == 0 || second == 0 || third != 0 {
				t.Fatalf("requests got the ids %d, %d and %d, want the third one refused at once", first, second, third)
			}
			if resp := responder.singleResponse(t); resp.Status != Refused || resp.RetryAfter != 50*ms || r.Counters.RefusedAtOnce[Thrift] != 1 {
				t.Errorf("answer %+v, counters %+v", resp, r.Counters)
			}
			r.Cancel(testStart, first, ClientInterrupted)
			if id, _ := submitNext(); id == 0 {
				t.Error("a request was refused at once although another has ended")
			}
		})
	}
}
