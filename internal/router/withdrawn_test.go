package router

import (
	"fmt"
	"testing"
	"time"

	"functionrouter/policy"
)

// Guards against memory that grows until the process is killed, and against workers that seem busy for ever: a request
// that its client withdraws in the turn in which it arrives was removed before the policy had seen it, and the policy
// then waited for the end of an attempt that was never sent.
func TestRequestEndedInTheTurnOfItsArrivalLeavesNothing(t *testing.T) {
	for name, end := range map[string]func(r *Router, id policy.RequestID){
		"interrupted":  func(r *Router, id policy.RequestID) { r.Cancel(testStart, id, ClientInterrupted) },
		"disconnected": func(r *Router, id policy.RequestID) { r.Disconnect(testStart, id) },
	} {
		t.Run(name, func(t *testing.T) {
			r, workers := newTestRouter(t, 1)
			addReadyWorkers(r, 1)
			for range 100 {
				id, _ := submit(r, idempotentClass)
				end(r, id)
				r.Process(testStart)
			}
			if got := r.State(); got.PendingRequests != 0 || got.Policy != (policy.State{}) || len(workers.openAttempts) != 0 {
				t.Errorf("state %+v and %d open attempts, want no state of the requests", got, len(workers.openAttempts))
			}
		})
	}
}

// Guards against the same loss for a request that is open for longer: its attempt ends without a result, which makes the
// policy send another one, and its client withdraws it in the same turn.
func TestRequestWithdrawnAsItsAttemptEndsLeavesNothing(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	addReadyWorkers(r, 2)
	id, _ := submit(r, idempotentClass)
	r.Process(testStart)
	attempt := workers.sent[id][0]
	delete(workers.openAttempts, attempt)
	r.AttemptEnded(attempt, AttemptResult{Outcome: policy.Unreachable})
	r.Cancel(testStart, id, ClientInterrupted)
	r.Process(testStart)
	if got := r.State(); got.PendingRequests != 0 || got.Policy.Requests != 0 || got.Policy.AttemptsInFlight != 0 || len(workers.sent[id]) != 1 {
		t.Errorf("state %+v and %d attempts sent, want no request and 1", got, len(workers.sent[id]))
	}
}

// Guards against memory that grows without limit where attempts can't be cancelled: withdrawn requests did not count, and
// their attempts last for as long as the clients said that they wait.
func TestWithdrawnRequestsWithAttemptsAreLimited(t *testing.T) {
	p, err := policy.New(policy.Config{RouterCount: 1, Tick: 4 * ms, OverQuotaWeight: 1, Classes: testClasses}, 1)
	if err != nil {
		t.Fatal(err)
	}
	const limit = 20
	r, _ := newRouterWithFakePool(p, Limits{MaxOpenRequests: limit, MaxBodyBytes: 1 << 16})
	addReadyWorkers(r, 1)
	for n := range 10 * limit {
		id := r.Submit(testStart, Request{
			Responder: &recordingResponder{}, ID: fmt.Sprint(n), Function: 7, Deadline: testStart + 10*time.Minute,
		})
		r.Process(testStart)
		r.Cancel(testStart, id, ClientInterrupted)
		r.Process(testStart)
	}
	if got := r.State(); got.PendingRequests != limit || got.Policy.Requests != limit {
		t.Errorf("state %+v, want %d requests", got, limit)
	}
}

// Guards against memory that a single turn of the event loop takes: clients can send and withdraw any number of requests
// while a turn reads their input, and the events and timers of these requests waited for the end of the turn.
func TestRequestsWithdrawnWithinATurnLeaveNoEvents(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	addReadyWorkers(r, 1)
	r.Process(testStart)
	withdraw := func(n int) {
		id := r.Submit(testStart, Request{
			Responder: &recordingResponder{}, ID: fmt.Sprint(n), Function: 7, Deadline: testStart + time.Second,
		})
		r.Cancel(testStart, id, ClientInterrupted)
	}
	timers := r.State().Timers
	first, _ := submit(r, idempotentClass)
	for n := range 10_000 {
		withdraw(n)
	}
	r.Cancel(testStart, first, ClientInterrupted)
	kept, _ := submit(r, idempotentClass)
	withdraw(0)
	if got := r.State(); len(r.events.pending) != 1 || got.PendingRequests != 1 || got.Timers != timers {
		t.Errorf("%d events are queued, want 1; state %+v, want 1 request and %d timers", len(r.events.pending), got, timers)
	}
	r.Process(testStart)
	if len(workers.openAttempts) != 1 || len(workers.sent[kept]) != 1 {
		t.Errorf("attempts %v were sent, want one, for request %d", workers.sent, kept)
	}
}

// Guards against attempts that begin after their client has disconnected, where the frontend keeps the outcome of a request for a
// client that comes back: an abandoned request must begin no attempt, and an attempt that has begun must go on.
func TestAbandonedRequestBeginsNoAttempt(t *testing.T) {
	for _, test := range []struct {
		name    string
		begun   bool // an attempt has begun, and ends without a proof that it ran after the request is abandoned
		held    bool // an attempt waits for the client's input
		resumed bool
		want    int // attempts that begin
	}{
		{"before the policy has got it", false, false, false, 0},
		{"while an attempt waits", false, true, false, 0},
		{"after an attempt has begun", true, false, false, 1},
		{"resumed", true, false, true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, workers := newTestRouter(t, 1)
			workers.deferSends = true
			addReadyWorkers(r, 2)
			responder := &recordingResponder{}
			input := &fakeInput{onCatchUp: func(*fakeInput) {}}
			if test.held {
				input.unseenFor = time.Second
			}
			id := r.Submit(testStart, Request{
				Responder: responder, Input: input, Class: idempotentClass, Function: 7,
				Deadline: testStart + testClasses[idempotentClass].Deadline,
			})
			if test.begun || test.held {
				r.Process(testStart)
			}
			if ended := r.Abandon(testStart, id); ended == test.begun {
				t.Errorf("Abandon has ended the request: %v, want %v", ended, !test.begun)
			}
			if test.resumed {
				r.Resume(id)
			}
			input.unseenFor = 0
			if test.begun {
				first := workers.sent[id][0]
				delete(workers.openAttempts, first)
				r.AttemptEnded(first, AttemptResult{Outcome: policy.Unreachable})
			}
			r.Process(testStart)
			if got := len(workers.sent[id]); got != test.want {
				t.Errorf("%d attempts have begun, want %d", got, test.want)
			}
			if test.begun && !test.resumed && responder.singleResponse(t).Status != Refused {
				t.Errorf("the answer is %+v, want a refusal, because no attempt ran", responder.singleResponse(t))
			}
			if !test.resumed && r.State().PendingRequests != 0 {
				t.Errorf("%d requests are pending, want none", r.State().PendingRequests)
			}
		})
	}
}
