package router

import (
	"fmt"
	"testing"
	"time"

	"functionrouter/policy"
)

// Checks that requests submitted after StopAdmitting are refused. Otherwise clients that keep sending would prevent a
// graceful shutdown from completing.
func TestRouterRefusesNewRequestsAfterStopAdmitting(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	addReadyWorkers(r, 1)
	r.StopAdmitting()
	_, responder := submit(r, notIdempotentClass)
	r.Process(testStart)
	if resp := responder.singleResponse(t); resp.Status != Refused || resp.MayHaveRun {
		t.Errorf("answer %+v, want status %v and MayHaveRun false", resp, Refused)
	}
	if r.OpenRequests() != 0 || len(workers.openAttempts) != 0 {
		t.Errorf("%d requests and %d attempts are open, want none", r.OpenRequests(), len(workers.openAttempts))
	}
}

// Checks that a request with the id of an open request fails and is not sent to a worker, even if it arrives through
// another frontend or connection, and that the id can be used again after the first request has ended.
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
				t.Fatalf("duplicate request: id %d, answer %+v, %d requests open; want id 0, status Failed, 1 open", id, resp, r.OpenRequests())
			}
		})
	}
	r.AttemptEnded(workers.sent[first][0], AttemptResult{Outcome: policy.Served, InstanceStatus: policy.InstanceWarm, Body: []byte("done")})
	r.Process(testStart + ms)
	if resp := firstResponder.singleResponse(t); string(resp.Body) != "done" || len(workers.sent) != 1 {
		t.Fatalf("answer %+v, want the body \"done\"; %d requests sent, want 1", resp, len(workers.sent))
	}
	if kept := len(r.requests.externalIDs) + len(r.requests.byID); kept != 0 {
		t.Fatalf("the table still has %d entries of ended requests, want none", kept)
	}
	if id, _ := submitSameID(Thrift, "again"); id == 0 {
		t.Error("Submit rejected the id of an ended request, want it to accept the id")
	}
}

// Checks that the policy gets the tenant of each request, which it needs to apply quotas. The test submits requests
// that are predicted to miss their latency objective. If the requests belong to a tenant with quota 0, the policy
// admits the first and refuses the others. If they belong to a tenant with a sufficient quota or to no tenant, the
// policy admits all of them.
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
				t.Errorf("%d of 5 requests were sent, want %d", len(workers.openAttempts), want)
			}
		})
	}
}

// Checks that OnRequestEnd is called once for each request, with the correct outcome. The webhook notices and the flow
// records depend on these calls.
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
				t.Errorf("OnRequestEnd was called with the outcomes %v, want [%v]", got, test.want)
			}
		})
	}
}

// Checks that the router refuses a request beyond either limit at once, with RetryAfter, and that it accepts a further
// request after an open request has ended. The limits bound the memory use of the router.
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
				t.Fatalf("requests got the ids %d, %d and %d, want 0 only for the third, which must be refused at once", first, second, third)
			}
			if resp := responder.singleResponse(t); resp.Status != Refused || resp.RetryAfter != 50*ms || r.Counters.RefusedAtOnce[Thrift] != 1 {
				t.Errorf("answer %+v, want status %v and RetryAfter %v; %d requests refused at once, want 1",
					resp, Refused, 50*ms, r.Counters.RefusedAtOnce[Thrift])
			}
			r.Cancel(testStart, first, ClientInterrupted)
			if id, _ := submitNext(); id == 0 {
				t.Error("the router refused a request although the limits allow it after an open request has ended")
			}
		})
	}
}
