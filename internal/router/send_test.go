package router

import (
	"slices"
	"testing"
	"time"

	"functionrouter/policy"
)

// fakeInput is a client's connection with input that waits unread.
type fakeInput struct {
	unseenFor time.Duration
	unreadFor time.Duration
	rate      float64
	onCatchUp func(*fakeInput)
}

func (i *fakeInput) UnseenFor() time.Duration { return i.unseenFor }
func (i *fakeInput) UnreadFor() time.Duration { return i.unreadFor }
func (i *fakeInput) InputRate() float64       { return i.rate }
func (i *fakeInput) CatchUp()                 { i.onCatchUp(i) }

// submitWithInput submits a request with this input and class idempotentClass.
func submitWithInput(r *Router, input Input, externalID string) policy.RequestID {
	return r.Submit(testStart, Request{
		Responder: &recordingResponder{}, Input: input, ID: externalID, Class: idempotentClass, Function: 7,
		Deadline: testStart + testClasses[idempotentClass].Deadline,
	})
}

// endFirstAttempt sends the first attempt of a request and ends it with this outcome.
func endFirstAttempt(r *Router, workers *fakeWorkerPool, id policy.RequestID, outcome policy.Outcome) {
	r.Process(testStart)
	first := workers.sent[id][0]
	delete(workers.openAttempts, first)
	r.AttemptEnded(first, AttemptResult{Outcome: outcome})
}

// Guards against requests of clients that send without a pause, which take the place of others until their attempts are
// given up: they are refused before the policy gets them.
func TestRequestsOfAClientThatIsNotCaughtUpWithAreRefused(t *testing.T) {
	r, _ := newTestRouter(t, 1)
	addReadyWorkers(r, 1)
	for unreadFor, wantAdmitted := range map[time.Duration]bool{0: true, 200 * ms: true, 300 * ms: false} {
		responder := &recordingResponder{}
		id := r.Submit(testStart, Request{
			Responder: responder, Input: &fakeInput{unreadFor: unreadFor}, ID: unreadFor.String(), Function: 7,
			Deadline: testStart + testClasses[idempotentClass].Deadline,
		})
		if admitted := id != 0; admitted != wantAdmitted || !admitted && responder.singleResponse(t).Status != Refused {
			t.Errorf("input unread for %v: admitted: %v, want %v; answers %+v, want Refused if it was not",
				unreadFor, admitted, wantAdmitted, responder.responses)
		}
	}
}

// Guards against attempts that begin long after their request was withdrawn: input that withdraws it has arrived, and
// waits unread behind other input while the router acts on the request, on the end of an earlier attempt or on a load.
func TestNoAttemptBeginsBehindUnreadInput(t *testing.T) {
	for name, prepare := range map[string]func(t *testing.T, r *Router, workers *fakeWorkerPool, id policy.RequestID){
		"first attempt": func(*testing.T, *Router, *fakeWorkerPool, policy.RequestID) {},
		"repeat": func(_ *testing.T, r *Router, workers *fakeWorkerPool, id policy.RequestID) {
			endFirstAttempt(r, workers, id, policy.Unreachable)
		},
		"after a load": func(t *testing.T, r *Router, workers *fakeWorkerPool, id policy.RequestID) {
			t.Helper()
			endFirstAttempt(r, workers, id, policy.FunctionNotLoaded)
			r.Process(testStart)
			if len(workers.loadCommands) == 0 {
				t.Fatal("no load command was sent")
			}
			for command := range workers.loadCommands {
				r.LoadCommandEnded(command, policy.Served, 1)
			}
			clear(workers.loadCommands)
		},
	} {
		for _, withdrawn := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				r, workers := newTestRouter(t, 1)
				workers.deferSends = true
				addReadyWorkers(r, 2)
				input := &fakeInput{}
				id := submitWithInput(r, input, "a")
				prepare(t, r, workers, id)
				sentBefore := len(workers.sent[id])

				input.unseenFor = time.Second
				input.onCatchUp = func(*fakeInput) {} // the limits of the turn do not suffice
				if next := r.Process(testStart); len(workers.sent[id]) != sentBefore || next != testStart {
					t.Errorf("%d attempts have begun, want %d; the next turn is at %v, want %v",
						len(workers.sent[id]), sentBefore, next, testStart)
				}
				input.onCatchUp = func(*fakeInput) {
					input.unseenFor = 0
					if withdrawn {
						r.Cancel(testStart, id, ClientInterrupted)
					}
				}
				r.Process(testStart)
				if begun := len(workers.sent[id]) > sentBefore; begun == withdrawn || withdrawn && len(workers.openAttempts) != 0 {
					t.Errorf("withdrawn: %v, but an attempt has begun: %v; %d attempts are open", withdrawn, begun, len(workers.openAttempts))
				}
			})
		}
	}
}

// Guards against requests that wait until their deadline, and against workers that seem busy meanwhile, because a client
// sends so much that its input is never read to the end: such a request is refused, as it never ran.
func TestAttemptOfAClientThatSendsWithoutPauseIsGivenUp(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	workers.deferSends = true
	addReadyWorkers(r, 2)
	responder := &recordingResponder{}
	r.Submit(testStart, Request{
		Responder: responder, Input: &fakeInput{unseenFor: time.Second, onCatchUp: func(*fakeInput) {}},
		Class: notIdempotentClass, Function: 7, Deadline: testStart + testClasses[notIdempotentClass].Deadline,
	})
	const step = 50 * ms
	now := testStart
	for ; !policy.GiveUpWaiting(now - testStart); now += step {
		r.Process(now)
		if len(responder.responses) > 0 {
			t.Fatalf("the request was answered after %v: %+v", now-testStart, responder.responses)
		}
	}
	r.Process(now)
	if got := responder.singleResponse(t); got.Status != Refused || got.MayHaveRun || len(workers.sent) != 0 {
		t.Errorf("the answer is %+v, and attempts %v have begun; want a refusal of a request that never ran", got, workers.sent)
	}
	if got := r.State(); got.Policy.AttemptsInFlight != 0 {
		t.Errorf("%d attempts are in flight, want none", got.Policy.AttemptsInFlight)
	}
}

// Guards against usual calls that wait behind clients at full speed: the limits of a turn go to clients that send least.
func TestUnreadInputOfSlowestClientIsReadFirst(t *testing.T) {
	r, _ := newTestRouter(t, 1)
	r.workers.(*fakeWorkerPool).deferSends = true
	addReadyWorkers(r, 2)
	var read []float64
	for n, rate := range []float64{3e6, 100, 5e5} {
		input := &fakeInput{unseenFor: time.Second, rate: rate, onCatchUp: func(i *fakeInput) {
			i.unseenFor = 0
			read = append(read, i.rate)
		}}
		submitWithInput(r, input, letterID(n))
	}
	r.Process(testStart)
	if !slices.Equal(read, []float64{100, 5e5, 3e6}) {
		t.Errorf("the clients were read in the order of the rates %v, want ascending", read)
	}
}

// letterID returns the id of the n-th request of a test.
func letterID(n int) string { return string(rune('a' + n)) }
