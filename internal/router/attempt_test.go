package router

import (
	"fmt"
	"testing"
	"time"

	"functionrouter/policy"
)

// Guards against a request that must not run twice running twice: once an attempt may have run, it fails and is not
// sent again.
func TestNotIdempotentRequestThatMayHaveRunFails(t *testing.T) {
	for _, outcome := range []policy.Outcome{policy.ConnectionReset, policy.Errored, policy.TimedOut} {
		t.Run(fmt.Sprint(outcome), func(t *testing.T) {
			r, workers := newTestRouter(t, 1)
			addReadyWorkers(r, 2)
			id, responder := submit(r, notIdempotentClass)
			r.Process(testStart)
			if len(workers.sent[id]) != 1 {
				t.Fatal("the request was not sent")
			}
			r.AttemptEnded(workers.sent[id][0], AttemptResult{Outcome: outcome})
			r.Process(testStart + ms)
			if resp := responder.singleResponse(t); len(workers.sent[id]) != 1 || resp.Status != Failed {
				t.Errorf("%d attempts, answer %+v", len(workers.sent[id]), resp)
			}
		})
	}
}

// Guards against a worker's answer that arrives after the client cancelled: nobody waits for it.
func TestResultAfterCancelIsDropped(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	addReadyWorkers(r, 1)
	id, responder := submit(r, idempotentClass)
	r.Process(testStart)
	r.Cancel(testStart+ms, id, ClientInterrupted)
	r.AttemptEnded(workers.sent[id][0], AttemptResult{Outcome: policy.Served, InstanceStatus: policy.InstanceWarm})
	r.Process(testStart + ms)
	if len(responder.responses) != 0 || r.Counters.ClientCancelled[Thrift] != 1 || r.Counters.Served[Thrift] != 0 {
		t.Errorf("answers %v, counters %+v", responder.responses, r.Counters)
	}
	if len(r.requests.byID) != 0 {
		t.Errorf("%d requests kept", len(r.requests.byID))
	}
}

// Guards against work for a client that is gone: an attempt of which nothing has been sent is taken back.
func TestCancelWithdrawsUnsentAttempt(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	addReadyWorkers(r, 1)
	id, _ := submit(r, notIdempotentClass)
	r.Process(testStart)
	if len(workers.sent[id]) != 1 {
		t.Fatal("the request was not sent")
	}
	workers.unsent[workers.sent[id][0]] = true
	r.Cancel(testStart+ms, id, ClientInterrupted)
	if len(workers.openAttempts) != 0 || r.Counters.AttemptOutcomes[policy.NotSent] != 1 || len(r.requests.byID) != 0 {
		t.Errorf("%d attempts open, %d requests kept, outcomes %v", len(workers.openAttempts), len(r.requests.byID),
			r.Counters.AttemptOutcomes)
	}
	r.Process(testStart + ms)
}

// Guards the count of open attempts: a second report of an attempt changes nothing.
func TestSecondReportOfEndedAttemptIsIgnored(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	addReadyWorkers(r, 1)
	id, responder := submit(r, notIdempotentClass)
	r.Process(testStart)
	for _, outcome := range []policy.Outcome{policy.Errored, policy.Served, policy.Errored} {
		r.AttemptEnded(workers.sent[id][0], AttemptResult{Outcome: outcome})
	}
	if got := r.Counters.AttemptOutcomes; got[policy.Errored] != 1 || got[policy.Served] != 0 || len(r.events.pending) != 1 {
		t.Errorf("outcomes %v, events %v", got, r.events.pending)
	}
	if p := r.requests.byID[id]; p.openAttempts != 0 || len(responder.responses) != 0 {
		t.Errorf("%d attempts open, answers %+v", p.openAttempts, responder.responses)
	}
}

// Guards what is sent: no attempt leaves for a request that has ended, is out of time or out of attempts. The
// events that follow are not given to the policy, which did not ask for these attempts.
func TestAttemptThatMustNotBeSentEndsAsNotSent(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(r *Router, id policy.RequestID)
	}{
		{"client cancelled", func(r *Router, id policy.RequestID) { r.Cancel(testStart, id, ClientInterrupted) }},
		{"out of time", func(r *Router, _ policy.RequestID) { r.SetNow(testStart + 3*time.Second) }},
		{"out of attempts", func(r *Router, id policy.RequestID) {
			for range r.limits.MaxAttempts - 1 {
				r.execute(policy.SendAttempt{Request: id, Worker: 1})
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, workers := newTestRouter(t, 1)
			id, _ := submit(r, notIdempotentClass)
			r.execute(policy.SendAttempt{Request: id, Worker: 1}) // keeps the request pending
			test.prepare(r, id)
			before := len(workers.sent[id])
			r.execute(policy.SendAttempt{Request: id, Worker: 1})
			if len(workers.sent[id]) != before || r.Counters.AttemptOutcomes[policy.NotSent] != 1 {
				t.Errorf("%d attempts sent, want %d; outcomes %v", len(workers.sent[id]), before, r.Counters.AttemptOutcomes)
			}
		})
	}
}

// Guards the time of an attempt: the router cancels it once its timeout is over, and not before.
func TestAttemptTimesOut(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	id, _ := submit(r, notIdempotentClass)
	r.execute(policy.SendAttempt{Request: id, Worker: 1, Timeout: 100 * ms})
	for _, test := range []struct {
		after    time.Duration
		timedOut uint64
	}{{99 * ms, 0}, {100 * ms, 1}} {
		r.SetNow(testStart + test.after)
		r.fireDueTimers()
		if got := r.Counters.AttemptOutcomes[policy.TimedOut]; got != test.timedOut || len(workers.openAttempts) != 1-int(got) {
			t.Errorf("after %v: %d timed out, want %d; %d open", test.after, got, test.timedOut, len(workers.openAttempts))
		}
	}
}

// Guards the answer's truth: while an attempt is open, the request may have run.
func TestAnswerWithOpenAttemptReportsThatItMayHaveRun(t *testing.T) {
	r, _ := newTestRouter(t, 1)
	id, responder := submit(r, idempotentClass)
	r.execute(policy.SendAttempt{Request: id, Worker: 1})
	r.execute(policy.RefuseRequest{Request: id, RetryAfter: 20 * ms})
	if resp := responder.singleResponse(t); resp.Status != Refused || !resp.MayHaveRun || resp.DeadlineExceeded || resp.RetryAfter != 20*ms {
		t.Errorf("answer %+v", resp)
	}
}
