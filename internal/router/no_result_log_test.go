package router

import (
	"strings"
	"testing"

	"functionrouter/internal/testsupport"
	"functionrouter/policy"
)

// Checks that a request whose client disconnected is logged with its id and age, and that a second one within
// noResultLogInterval is not logged.
func TestNoResultLogRecordsDisconnectedRequests(t *testing.T) {
	log := testsupport.CaptureLog(t)
	l := newNoResultLog()
	p := &pendingRequest{Request: Request{ID: "00000000000000a1", ReceivedAt: testStart, Deadline: testStart + 50*ms, InputWait: 7 * ms}}
	l.record(testStart+20*ms, p, RequestCancelled, ClientDisconnected.String())
	l.record(testStart+21*ms, p, RequestCancelled, ClientDisconnected.String())
	want := `requests=1 id=00000000000000a1 class=0 outcome=cancelled cause=client_disconnected age=20ms time_left=30ms attempts=0 input_wait=7ms`
	if got := log.String(); strings.Count(got, "\n") != 1 || !strings.HasSuffix(got, want+"\n") {
		t.Errorf("logged %q, want one line that ends with %q", got, want)
	}
}

// Checks that the router logs neither a request that its client interrupted nor a request that the policy refused.
func TestNoResultLogOmitsInterruptedAndRefusedRequests(t *testing.T) {
	log := testsupport.CaptureLog(t)
	r, _ := newTestRouter(t, 1)
	interrupted, _ := submit(r, idempotentClass)
	r.Cancel(testStart+ms, interrupted, ClientInterrupted)
	refused, responder := submit(r, idempotentClass)
	r.execute(policy.RefuseRequest{Request: refused, Reason: policy.LoadShed})
	if resp := responder.singleResponse(t); resp.Status != Refused || log.String() != "" {
		t.Errorf("answer %+v, want status Refused; logged %q, want nothing", resp, log)
	}
}

// Checks that an answer after the end of its client's wait is counted and logged, and one before it is not.
func TestLateAnswersAreCountedAndLogged(t *testing.T) {
	log := testsupport.CaptureLog(t)
	r, _ := newTestRouter(t, 1)
	p := &pendingRequest{Request: Request{ID: "00000000000000a1", ReceivedAt: testStart, GivesUpAt: testStart + 50*ms, InputWait: 7 * ms}}
	r.SetNow(testStart + 50*ms)
	r.recordLateAnswer(p, Served)
	r.SetNow(testStart + 60*ms)
	r.recordLateAnswer(p, Failed)
	if r.Counters.LateAnswers != 1 || r.Counters.LatestAnswer != 10*ms {
		t.Errorf("%d late answers, the latest by %v; want 1, 10ms", r.Counters.LateAnswers, r.Counters.LatestAnswer)
	}
	want := `answers=1 id=00000000000000a1 class=0 outcome=failed late=10ms age=60ms input_wait=7ms attempts=0`
	if got := log.String(); strings.Count(got, "\n") != 1 || !strings.HasSuffix(got, want+"\n") {
		t.Errorf("logged %q, want one line that ends with %q", got, want)
	}
}
