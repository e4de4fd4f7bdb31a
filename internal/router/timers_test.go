package router

import (
	"testing"
	"time"
)

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
