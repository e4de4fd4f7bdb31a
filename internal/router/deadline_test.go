package router

import (
	"fmt"
	"testing"
	"time"

	"functionrouter/policy"
)

// Checks that the router ends a request that the policy has not ended by its deadline, with Refused only if no attempt
// was sent. Otherwise the client would get no answer after a fault of the policy.
func TestRouterEnforcesDeadline(t *testing.T) {
	for _, test := range []struct {
		name     string
		workers  int
		attempts int
		want     Status
	}{
		{"nothing sent", 0, 0, Refused},
		{"attempt open", 1, 1, Failed},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, workers := newTestRouter(t, 1)
			if test.workers > 0 {
				addReadyWorkers(r, test.workers)
			}
			id, responder := submit(r, notIdempotentClass)
			r.Process(testStart)
			if len(workers.sent[id]) != test.attempts {
				t.Fatalf("%d attempts sent, want %d", len(workers.sent[id]), test.attempts)
			}
			deadline := findTimer(t, r, requestDeadline)
			if deadline.due != testStart+3*time.Second {
				t.Fatalf("timer %+v is due at %v, want %v", deadline, deadline.due, testStart+3*time.Second)
			}
			r.now = deadline.due
			r.fire(deadline)
			r.Process(r.now)
			if resp := responder.singleResponse(t); resp.Status != test.want || !resp.DeadlineExceeded || resp.RetryAfter != r.limits.RetryAfter {
				t.Errorf("answer %+v, want status %v, DeadlineExceeded true and RetryAfter %v", resp, test.want, r.limits.RetryAfter)
			}
			if r.Counters.Overdue != 1 || len(workers.openAttempts) != 0 {
				t.Errorf("Counters.Overdue is %d, want 1; open attempts %v, want none", r.Counters.Overdue, workers.openAttempts)
			}
		})
	}
}

// findTimer returns a scheduled timer of the given kind. It fails the test if there is none.
func findTimer(t *testing.T, r *Router, kind timerKind) timer {
	t.Helper()
	for _, timer := range r.timers.heap {
		if timer.kind == kind {
			return timer
		}
	}
	t.Fatalf("no timer of kind %q is scheduled; scheduled timers: %+v", kind, r.timers.heap)
	return timer{}
}

// Checks the order in which timers fire, on which the policy's decisions depend.
func TestTimersFireByDueTimeThenInOrderOfScheduling(t *testing.T) {
	var q timerQueue
	for token, due := range []time.Duration{3, 1, 2, 1, 3, 1} {
		q.schedule(due, timer{kind: policyTimer, token: uint64(token)})
	}
	for _, want := range []uint64{1, 3, 5, 2} {
		if got, ok := q.popDue(2); !ok || got.token != want {
			t.Fatalf("popDue(2) returned timer %+v, %v, want the timer with token %d, true", got, ok, want)
		}
	}
	if got, ok := q.popDue(2); ok {
		t.Errorf("popDue(2) returned timer %+v, want none, because the remaining timers are due at 3", got)
	}
	if due, ok := q.nextDue(); !ok || due != 3 {
		t.Errorf("nextDue returned %d, %v, want 3, true", due, ok)
	}
}

// Checks the time that is reserved for the transfer of an answer to the client.
func TestAnswerBudget(t *testing.T) {
	for wait, want := range map[time.Duration]time.Duration{
		0:               0,
		100 * ms:        90 * ms,
		400 * ms:        360 * ms,
		2 * time.Second: 1960 * ms,
	} {
		t.Run(wait.String(), func(t *testing.T) {
			if got := AnswerBudget(wait); got != want {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}

// Checks that the policy ends a request shortly before its deadline, so that the router does not have to, and that the
// answer is marked as DeadlineExceeded.
func TestPolicyEndsRequestBeforeDeadline(t *testing.T) {
	r, _ := newTestRouter(t, 1)
	addReadyWorkers(r, 1)
	_, responder := submit(r, notIdempotentClass)
	for now := testStart; now < testStart+4*time.Second && len(responder.responses) == 0; {
		now = r.Process(now)
	}
	resp := responder.singleResponse(t)
	if resp.Status != Failed || !resp.DeadlineExceeded || !resp.MayHaveRun || r.Counters.Overdue != 0 {
		t.Errorf("answer %+v, want status %v, DeadlineExceeded true and MayHaveRun true; Counters.Overdue is %d, want 0",
			resp, Failed, r.Counters.Overdue)
	}
	if r.Counters.UnservedByReason[policy.DeadlineExceeded] != 1 {
		t.Errorf("%d requests ended unserved with DeadlineExceeded, want 1; counts by reason: %v",
			r.Counters.UnservedByReason[policy.DeadlineExceeded], r.Counters.UnservedByReason)
	}
}

// Checks that BeginShutdown limits the deadlines of open requests and of those that are submitted afterwards. Otherwise
// a request could still be open when the process is killed.
func TestShutdownBoundsDeadlines(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	addReadyWorkers(r, 1)
	_, openResponder := submit(r, notIdempotentClass)
	r.Process(testStart)
	const latest = testStart + 200*ms
	r.BeginShutdown(testStart, latest)
	laterResponder := &recordingResponder{}
	id := r.Submit(testStart, Request{
		ID:        "after",
		Responder: laterResponder,
		Class:     notIdempotentClass,
		Function:  7,
		Deadline:  testStart + 3*time.Second,
	})
	if id == 0 {
		t.Fatalf("Submit answered the later request itself: %+v", laterResponder.responses)
	}
	if next := r.Process(testStart); next > latest {
		t.Errorf("Process returned the next call time %v, want at most %v", next, latest)
	}
	r.Process(latest)
	for _, responder := range []*recordingResponder{openResponder, laterResponder} {
		responder.singleResponse(t)
	}
	if r.OpenRequests() != 0 || len(workers.openAttempts) != 0 {
		t.Errorf("%d requests and the attempts %v are open, want none", r.OpenRequests(), workers.openAttempts)
	}
}

// Checks which requests Counters.Overdue counts although neither the policy nor the machine has a fault: an open
// request whose deadline a shutdown moves, and a request that arrives with no time left. The counter must not count a
// request that arrives during the shutdown.
func TestOverdueCounterWithoutFault(t *testing.T) {
	for _, test := range []struct {
		name     string
		wait     time.Duration
		shutdown func(r *Router, latest time.Duration) // called after the first request is submitted, unless nil
		want     uint64                                // Counters.Overdue
	}{
		{"time left", 200 * ms, nil, 0},
		{"no time left", 0, nil, 1},
		{"deadline moved", 2 * time.Second, func(r *Router, latest time.Duration) { r.BeginShutdown(testStart, latest) }, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, _ := newTestRouter(t, 1)
			addReadyWorkers(r, 1)
			r.Process(testStart)
			first := &recordingResponder{}
			r.Submit(testStart, Request{
				ID:        "first",
				Responder: first,
				Class:     notIdempotentClass,
				Function:  7,
				Deadline:  testStart + test.wait,
			})
			responders := []*recordingResponder{first}
			if test.shutdown != nil {
				test.shutdown(r, testStart+200*ms)
				during := &recordingResponder{}
				r.Submit(testStart, Request{
					ID:        "during the shutdown",
					Responder: during,
					Class:     notIdempotentClass,
					Function:  7,
					Deadline:  testStart + test.wait,
				})
				responders = append(responders, during)
			}
			for now := testStart; now < testStart+time.Second && r.OpenRequests() > 0; {
				now = r.Process(now)
			}
			for _, responder := range responders {
				if resp := responder.singleResponse(t); !resp.DeadlineExceeded {
					t.Errorf("answer %+v, want DeadlineExceeded true", resp)
				}
			}
			if r.Counters.Overdue != test.want {
				t.Errorf("Counters.Overdue is %d, want %d", r.Counters.Overdue, test.want)
			}
		})
	}
}

// Guards against requests that outlive all figures of the settings because their clients say that they wait for ten
// minutes: the wait of a request ends with the longest wait of its class.
func TestDeadlineIsLimitedByTheClass(t *testing.T) {
	r, _ := newTestRouter(t, 1)
	r.limits.MaxWaits = []time.Duration{idempotentClass: 2 * time.Second, notIdempotentClass: 3 * time.Second}
	for class, longest := range r.limits.MaxWaits {
		for _, wait := range []time.Duration{time.Second, 10 * time.Minute} {
			id := r.Submit(testStart, Request{
				Responder: &recordingResponder{}, ID: fmt.Sprint(class, wait), Class: class, Function: 7,
				Deadline: testStart + AnswerBudget(wait),
			})
			want := testStart + AnswerBudget(min(wait, longest))
			if got := r.requests.byID[id].Deadline; got != want {
				t.Errorf("class %d, wait %v: deadline %v, want %v", class, wait, got-testStart, want-testStart)
			}
		}
	}
	last := r.events.pending[len(r.events.pending)-1].(policy.RequestArrived)
	if want := AnswerBudget(3 * time.Second); last.TimeLeft != want {
		t.Errorf("the policy gets the time left %v, want %v", last.TimeLeft, want)
	}
}
