package router

import (
	"testing"
	"time"
)

// Guards against answers that wait until the input of a turn has been handled: a request that has reached its deadline is
// answered by Advance.
func TestAdvanceFiresDueTimers(t *testing.T) {
	r, _ := newTestRouter(t, 1)
	addReadyWorkers(r, 1)
	_, responder := submit(r, idempotentClass)
	r.Advance(testStart)
	if len(responder.responses) != 0 {
		t.Fatalf("the request got %+v before its deadline", responder.responses)
	}
	r.Advance(testStart + testClasses[idempotentClass].Deadline)
	responder.singleResponse(t)
}

// Guards against requests of one client that fill the table until the end of a turn, so that others are refused: Advance
// answers those that have no time left.
func TestAdvanceEndsRequestsWithoutTime(t *testing.T) {
	r, _ := newTestRouter(t, 1)
	for range 2 * r.limits.MaxOpenRequests {
		r.Submit(testStart, Request{Responder: &recordingResponder{}, Function: 7, Deadline: testStart})
		r.Advance(testStart)
	}
	if refused := r.Counters.RefusedAtOnce[Thrift]; refused != 0 {
		t.Errorf("%d requests were refused because of the limit, want 0", refused)
	}
}

// Guards against timers that stay until they are due, which clients may put ten minutes ahead with the wait of requests
// that end at once.
func TestTimersOfEndedRequestsAreRemoved(t *testing.T) {
	r, _ := newTestRouter(t, 1)
	responder := &recordingResponder{}
	const requests = 20_000
	for range requests {
		id := r.Submit(testStart, Request{Responder: responder, Function: 7, Deadline: testStart + 10*time.Minute})
		r.Process(testStart + ms)
		r.Cancel(testStart+ms, id, ClientInterrupted)
		r.Process(testStart + ms)
	}
	if got := r.State().Timers; got > 2*minPrunedTimers {
		t.Errorf("%d timers after %d requests have ended, want at most %d", got, requests, 2*minPrunedTimers)
	}
}
