package backend

import (
	"time"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// StartAttempt sends an attempt of a request to a worker, which has budget from now on to answer it. No other attempt with
// the id may be open, and the request's class must be one of Config.Classes. The attempt ends as Unreachable if the worker
// is not known or not ready, or if no connection can carry the attempt. The request may be reused once StartAttempt has
// returned; its body is kept without a copy and must not be changed.
func (p *Pool) StartAttempt(workerID policy.WorkerID, attemptID router.AttemptID, request *router.Request,
	budget time.Duration,
) {
	w := p.workers[workerID]
	if w != nil && w.isReady() {
		call := newAttemptCall(attemptID, request, p.cfg.Classes[request.Class], p.now+budget)
		if c := p.selectConnection(w, call); c != nil {
			p.attempts[attemptID] = call
			c.send(call)
			return
		}
	}
	p.results.AttemptEnded(attemptID, router.AttemptResult{Outcome: policy.Unreachable})
}

// CancelUnsent cancels an attempt that waits for a dial; no result follows, and the dial goes on. It returns false, and
// does nothing, if the attempt has been written or has ended.
func (p *Pool) CancelUnsent(attemptID router.AttemptID) bool {
	call := p.attempts[attemptID]
	if call == nil || call.written {
		return false
	}
	delete(p.attempts, attemptID)
	call.connection.dequeue(call)
	return true
}

// CancelAttempt cancels an attempt; no result follows, and the worker may run it all the same. Its connection does not
// carry its wire id again while recentIDs remembers it: an answer that is on its way must not end another attempt of the
// same request. The cancel is sent to the worker where the settings allow it. The worker's id, a parameter of
// router.WorkerPool, is not needed: the pool knows the attempt's connection.
func (p *Pool) CancelAttempt(_ policy.WorkerID, attemptID router.AttemptID) {
	call := p.attempts[attemptID]
	if call == nil || p.CancelUnsent(attemptID) {
		return
	}
	delete(p.attempts, attemptID)
	call.connection.release(call)
	if p.cfg.AllowCancel {
		call.connection.transport.Write(encodeCommand(commandCancel, call.wireID))
	}
}

// LoadInstance commands a worker to keep this number of instances of a function loaded; 0 only asks for the number of
// loaded ones. The command ends as Unreachable if the worker is not known, if no connection can carry it or, unless the
// number is 0, if the worker is not ready.
func (p *Pool) LoadInstance(workerID policy.WorkerID, function policy.FunctionID, instances int, controlID router.ControlID) {
	p.sendControl(workerID, newLoadCommandCall(controlID, function, instances))
}

// CheckHealth asks a worker, in whatever state it is, for a sign of life and for its load report. The health check ends as
// Unreachable if the worker is not known or no connection can carry it.
func (p *Pool) CheckHealth(workerID policy.WorkerID, controlID router.ControlID) {
	p.sendControl(workerID, newHealthCheckCall(controlID))
}

// sendControl sends a load command or a health check. The call ends as Unreachable if the worker is not known, if the call
// needs a ready worker and this one is not, or if no connection can carry it.
func (p *Pool) sendControl(workerID policy.WorkerID, call *pendingCall) {
	w := p.workers[workerID]
	if w != nil && (w.isReady() || !call.needsReadyWorker) {
		if c := p.selectConnection(w, call); c != nil {
			c.send(call)
			return
		}
	}
	p.endUnanswered(call, policy.Unreachable)
}

// CancelControl cancels the load command or health check that the caller knows as control; no result follows. The worker
// gets no message and may carry it out all the same. Its wire id is not remembered: a ControlID is used once.
func (p *Pool) CancelControl(workerID policy.WorkerID, controlID router.ControlID) {
	w := p.workers[workerID]
	if w == nil {
		return
	}
	for _, c := range w.connections {
		for _, wireID := range []string{loadCommandWireID(controlID), healthCheckWireID(controlID)} {
			if call := c.pending[wireID]; call != nil {
				c.dequeue(call) // if it waits for the dial
				c.release(call) // if it was written
			}
		}
	}
}

// UnloadInstance commands a worker to unload the idle instances of a function; it has no answer. The command goes over the
// oldest connection whose dial has ended, and is lost if the pool has just closed that one. Without such a connection
// nothing is sent: an idle instance expires by itself, so that a dial is not worth its cost.
func (p *Pool) UnloadInstance(workerID policy.WorkerID, function policy.FunctionID) {
	w := p.workers[workerID]
	if w == nil {
		return
	}
	for _, c := range w.connections {
		if c.state != stateConnecting {
			c.transport.Write(encodeCommand(commandUnload, formatFunctionID(function)))
			return
		}
	}
}

// endUnanswered reports the end of a call that got no answer and that no connection holds any more.
func (p *Pool) endUnanswered(call *pendingCall, outcome policy.Outcome) {
	switch call.kind {
	case attemptCall:
		delete(p.attempts, call.attemptID)
		p.results.AttemptEnded(call.attemptID, router.AttemptResult{Outcome: outcome})
	case loadCommandCall:
		p.results.LoadCommandEnded(call.controlID, outcome, 0)
	case healthCheckCall:
		if outcome == policy.NotSent {
			// The policy takes NotSent for an answer of the worker (see HealthCheckEnded), and there was none.
			outcome = policy.Unreachable
		}
		p.results.HealthCheckEnded(call.controlID, outcome, nil)
	case keepAliveCall: // it concerns this package alone
	}
}
