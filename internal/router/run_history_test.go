package router

import (
	"fmt"
	"testing"
	"time"

	"functionrouter/policy"
)

const (
	testRunLifetime = 10 * time.Second
	testMaxRuns     = 20
)

// newHistoryRouter returns a router with one worker that remembers the runs of notIdempotentClass.
func newHistoryRouter(t *testing.T) (*Router, *fakeWorkerPool) {
	t.Helper()
	template, _ := newTestRouter(t, 1)
	limits := template.limits
	limits.RunsAreFinal = []bool{idempotentClass: false, notIdempotentClass: true}
	limits.RunLifetime = testRunLifetime
	limits.MaxRuns = testMaxRuns
	r, workers := newRouterWithFakePool(template.policy, limits)
	addReadyWorkers(r, 1)
	r.Process(testStart)
	return r, workers
}

// submitWithID submits a request with an ID at the given time, and lets the policy decide.
func submitWithID(r *Router, now time.Duration, class int, requestID string) (policy.RequestID, *recordingResponder) {
	responder := &recordingResponder{}
	id := r.Submit(now, Request{
		Responder: responder, ID: requestID, Class: class, Function: 7, Deadline: now + testClasses[class].Deadline,
	})
	r.Process(now)
	return id, responder
}

// endRequest submits a request and ends its attempt with the given outcome; Cancelled means that its client has left.
func endRequest(t *testing.T, r *Router, now time.Duration, class int, requestID string, outcome policy.Outcome) {
	t.Helper()
	id, _ := submitWithID(r, now, class, requestID)
	if outcome == policy.Cancelled {
		r.Cancel(now, id, ClientDisconnected)
	} else {
		r.AttemptEnded(AttemptID{Request: id}, AttemptResult{Outcome: outcome})
	}
	r.Process(now)
	if pending := r.State().PendingRequests; pending != 0 {
		t.Fatalf("%d requests are pending, want 0", pending)
	}
}

// Guards against a request that runs twice when its ID comes again after its client has left, and against IDs that are
// refused for no reason or for ever.
func TestReturningIDIsSentAgainOnlyIfItMayBe(t *testing.T) {
	const requestID = "00000000000000a1"
	for _, test := range []struct {
		name     string
		class    int // of both requests
		outcome  policy.Outcome
		pause    time.Duration
		returns  int // class of the second request
		wantSent bool
	}{
		{"may have run", notIdempotentClass, policy.Cancelled, 0, notIdempotentClass, false},
		{"served", notIdempotentClass, policy.Served, time.Second, notIdempotentClass, false},
		{"shortly before the end of its lifetime", notIdempotentClass, policy.Cancelled, testRunLifetime - ms, notIdempotentClass, false},
		{"with another class", notIdempotentClass, policy.Cancelled, 0, idempotentClass, false},
		{"never ran", notIdempotentClass, policy.NotSent, 0, notIdempotentClass, true},
		{"idempotent", idempotentClass, policy.Cancelled, 0, idempotentClass, true},
		{"after its lifetime", notIdempotentClass, policy.Cancelled, 2 * testRunLifetime, notIdempotentClass, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, workers := newHistoryRouter(t)
			endRequest(t, r, testStart, test.class, requestID, test.outcome)
			id, responder := submitWithID(r, testStart+test.pause, test.returns, requestID)
			if sent := len(workers.sent[id]) > 0; sent != test.wantSent {
				t.Errorf("sent again: %v, want %v", sent, test.wantSent)
			}
			if !test.wantSent {
				if got := responder.singleResponse(t); got.Status != Failed || r.Counters.ReturnedIDs != 1 {
					t.Errorf("answer %+v, want Failed; %d returned IDs counted, want 1", got, r.Counters.ReturnedIDs)
				}
			}
		})
	}
}

// Guards the memory that the history takes, and against runs that are forgotten early to make room: at the limit, further
// requests that must not run twice are refused until the earliest runs have reached their lifetime.
func TestFullRunHistoryRefusesRequests(t *testing.T) {
	r, _ := newHistoryRouter(t)
	for n := range testMaxRuns {
		endRequest(t, r, testStart, notIdempotentClass, fmt.Sprint("id", n), policy.Cancelled)
	}
	if got := r.State().Runs; got != testMaxRuns {
		t.Fatalf("%d runs remembered, want %d", got, testMaxRuns)
	}
	_, refused := submitWithID(r, testStart, notIdempotentClass, "one more")
	if got := refused.singleResponse(t); got.Status != Refused || got.MayHaveRun {
		t.Errorf("answer %+v, want Refused and that it never ran", got)
	}
	if _, other := submitWithID(r, testStart, idempotentClass, "idempotent"); len(other.responses) != 0 {
		t.Errorf("the idempotent request got %+v, want no answer yet", other.responses)
	}
	submitWithID(r, testStart+2*testRunLifetime, notIdempotentClass, "later")
	if state := r.State(); state.Runs != 0 || r.Counters.RefusedAtOnce[Thrift] != 1 {
		t.Errorf("%d runs remembered after their lifetime, want 0; %d requests refused at once, want 1", state.Runs, r.Counters.RefusedAtOnce[Thrift])
	}
}
