package router

import (
	"fmt"
	"testing"

	"functionrouter/policy"
)

// Guards rule 2: a request that must not run twice and whose attempt may have run fails, and is not sent again.
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
			r.AttemptEnded(workers.sent[id][0], outcome, policy.InstanceUnknown, nil, nil)
			r.Process(testStart + ms)
			if resp := responder.only(t); len(workers.sent[id]) != 1 || resp.Status != Failed {
				t.Errorf("%d attempts, answer %+v", len(workers.sent[id]), resp)
			}
		})
	}
}

// Guards against a worker's answer that arrives after the client cancelled: it is owed to nobody.
func TestResultAfterCancelIsDropped(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	addReadyWorkers(r, 1)
	id, responder := submit(r, idempotentClass)
	r.Process(testStart)
	r.Cancel(testStart+ms, id)
	r.AttemptEnded(workers.sent[id][0], policy.Served, policy.InstanceWarm, nil, nil)
	r.Process(testStart + ms)
	if len(responder.responses) != 0 || r.Counters.ClientCancelled[Thrift] != 1 || r.Counters.Served[Thrift] != 0 {
		t.Errorf("answers %v, counters %+v", responder.responses, r.Counters)
	}
	if len(r.requests.byID) != 0 {
		t.Errorf("%d requests kept", len(r.requests.byID))
	}
}

// Guards against work for a client that is gone: an attempt that waits for a connection is withdrawn.
func TestCancelWithdrawsQueuedAttempt(t *testing.T) {
	r, workers := newTestRouter(t, 1)
	addReadyWorkers(r, 1)
	id, _ := submit(r, notIdempotentClass)
	r.Process(testStart)
	if len(workers.sent[id]) != 1 {
		t.Fatal("the request was not sent")
	}
	workers.queued[workers.sent[id][0]] = true
	r.Cancel(testStart+ms, id)
	if len(workers.openAttempts) != 0 || r.Counters.AttemptOutcomes[policy.NotSent] != 1 || len(r.requests.byID) != 0 {
		t.Errorf("%d attempts open, %d requests kept, outcomes %v", len(workers.openAttempts), len(r.requests.byID),
			r.Counters.AttemptOutcomes)
	}
	r.Process(testStart + ms)
}
