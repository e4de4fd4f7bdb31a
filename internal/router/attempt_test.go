package router

import (
	"fmt"
	"testing"
	"time"

	"functionrouter/policy"
)

// Checks that a request of a non-idempotent class fails and is not sent again after an attempt that may have run.
// Otherwise the request could run twice.
func TestNotIdempotentRequestThatMayHaveRunFails(t *testing.T) {
	for _, outcome := range []policy.Outcome{policy.ConnectionReset, policy.Errored, policy.TimedOut} {
		t.Run(fmt.Sprint(outcome), func(t *testing.T) {
			r, workers := newTestRouter(t, 1)
			addReadyWorkers(r, 2)
			id, responder := submit(r, notIdempotentClass)
			r.Process(testStart)
			if len(workers.sent[id]) != 1 {
				t.Fatalf("%d attempts sent, want 1", len(workers.sent[id]))
			}
			r.AttemptEnded(workers.sent[id][0], AttemptResult{Outcome: outcome})
			r.Process(testStart + ms)
			if resp := responder.singleResponse(t); len(workers.sent[id]) != 1 || resp.Status != Failed {
				t.Errorf("%d attempts sent, want 1; answer %+v, want status %v", len(workers.sent[id]), resp, Failed)
			}
		})
	}
}

// Checks that a worker's answer that arrives after the client cancelled is neither written to the client nor counted,
// and that the request is removed from the table.
func TestResultAfterCancelIsDropped(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	addReadyWorkers(r, 1)
	id, responder := submit(r, idempotentClass)
	r.Process(testStart)
	r.Cancel(testStart+ms, id, ClientInterrupted)
	r.AttemptEnded(workers.sent[id][0], AttemptResult{Outcome: policy.Served, InstanceStatus: policy.InstanceWarm})
	r.Process(testStart + ms)
	if len(responder.responses) != 0 || r.Counters.ClientCancelled[Thrift] != 1 || r.Counters.Served[Thrift] != 0 {
		t.Errorf("answers %v, want none; %d requests cancelled, want 1; %d requests served, want 0",
			responder.responses, r.Counters.ClientCancelled[Thrift], r.Counters.Served[Thrift])
	}
	if len(r.requests.byID) != 0 {
		t.Errorf("%d requests are still in the table, want 0", len(r.requests.byID))
	}
}

// Checks that cancelling a request withdraws an attempt of which nothing has been sent. Otherwise a worker would run
// the request although the client has stopped waiting for its answer.
func TestCancelWithdrawsUnsentAttempt(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	addReadyWorkers(r, 1)
	id, _ := submit(r, notIdempotentClass)
	r.Process(testStart)
	if len(workers.sent[id]) != 1 {
		t.Fatalf("%d attempts sent, want 1", len(workers.sent[id]))
	}
	workers.unsent[workers.sent[id][0]] = true
	r.Cancel(testStart+ms, id, ClientInterrupted)
	if len(workers.openAttempts) != 0 || r.Counters.AttemptOutcomes[policy.NotSent] != 1 {
		t.Errorf("%d attempts are open, want none; %d attempts ended with NotSent, want 1",
			len(workers.openAttempts), r.Counters.AttemptOutcomes[policy.NotSent])
	}
	r.Process(testStart + ms) // the request stays in the table until the policy has handled its end
	if len(r.requests.byID) != 0 {
		t.Errorf("%d requests in the table, want none", len(r.requests.byID))
	}
}

// Checks that a second call of AttemptEnded for the same attempt changes neither the number of open attempts nor the
// counters.
func TestSecondReportOfEndedAttemptIsIgnored(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	addReadyWorkers(r, 1)
	id, responder := submit(r, notIdempotentClass)
	r.Process(testStart)
	for _, outcome := range []policy.Outcome{policy.Errored, policy.Served, policy.Errored} {
		r.AttemptEnded(workers.sent[id][0], AttemptResult{Outcome: outcome})
	}
	if got := r.Counters.AttemptOutcomes; got[policy.Errored] != 1 || got[policy.Served] != 0 || len(r.events.pending) != 1 {
		t.Errorf("%d attempts ended with Errored, want 1; %d with Served, want 0; events %v, want one",
			got[policy.Errored], got[policy.Served], r.events.pending)
	}
	if p := r.requests.byID[id]; p.openAttempts != 0 || len(responder.responses) != 0 {
		t.Errorf("%d attempts are open and the answers are %+v, want none", p.openAttempts, responder.responses)
	}
}

// Checks that no attempt is sent for a request that has ended, has reached its deadline or has used up its attempts.
// The test does not call Process afterwards, because the policy did not ask for these attempts.
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
				t.Errorf("%d attempts sent, want %d; %d attempts ended with NotSent, want 1",
					len(workers.sent[id]), before, r.Counters.AttemptOutcomes[policy.NotSent])
			}
		})
	}
}

// Checks that the router cancels an attempt when its timeout expires, and not before.
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
			t.Errorf("after %v: %d attempts timed out, want %d; %d attempts open, want %d",
				test.after, got, test.timedOut, len(workers.openAttempts), 1-test.timedOut)
		}
	}
}

// Checks that an answer given while an attempt is open says that the request may have run. Otherwise the client would
// assume that the request never ran.
func TestAnswerWithOpenAttemptReportsThatItMayHaveRun(t *testing.T) {
	r, _ := newTestRouter(t, 1)
	id, responder := submit(r, idempotentClass)
	r.execute(policy.SendAttempt{Request: id, Worker: 1})
	r.execute(policy.RefuseRequest{Request: id, RetryAfter: 20 * ms})
	if resp := responder.singleResponse(t); resp.Status != Refused || !resp.MayHaveRun || resp.DeadlineExceeded || resp.RetryAfter != 20*ms {
		t.Errorf("answer %+v, want status %v, MayHaveRun true, DeadlineExceeded false and RetryAfter %v", resp, Refused, 20*ms)
	}
}

// Guards against a repeat that runs a request a second time: an attempt that waits for a connection is not sent after the
// time within which its worker recognizes the repeat. An attempt that was sent goes on.
func TestAttemptIsNotSentAfterItsTime(t *testing.T) {
	for _, unsent := range []bool{true, false} {
		r, workers := newTestRouter(t, 1)
		id, _ := submit(r, notIdempotentClass)
		r.execute(policy.SendAttempt{Request: id, Worker: 1, SendWithin: 100 * ms})
		workers.unsent[AttemptID{Request: id}] = unsent
		for _, after := range []time.Duration{99 * ms, 100 * ms} {
			r.SetNow(testStart + after)
			r.fireDueTimers()
			want := uint64(0)
			if unsent && after == 100*ms {
				want = 1
			}
			if got := r.Counters.AttemptOutcomes[policy.NotSent]; got != want || len(workers.openAttempts) != 1-int(want) {
				t.Errorf("unsent %v, after %v: %d attempts ended with NotSent, want %d; %d open, want %d",
					unsent, after, got, want, len(workers.openAttempts), 1-want)
			}
		}
	}
}
