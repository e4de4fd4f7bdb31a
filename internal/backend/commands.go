package backend

import (
	"slices"
	"time"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// StartAttempt queues an attempt of a request for a worker. The budget is the time that the attempt may take, the wait
// for a dial and for SendAttempt included. No other attempt with the same ID may be open, and the request's class must be
// an index of Config.Classes. The attempt ends as Unreachable if the worker is unknown or not ready. If the limits of the
// pool allow no connection to carry the attempt, it ends as NotSent, because that is no fault of the worker. The caller
// may reuse the request after StartAttempt returns, but not its body: the pool keeps the slice without a copy.
func (p *Pool) StartAttempt(workerID policy.WorkerID, attemptID router.AttemptID, request *router.Request,
	budget time.Duration,
) {
	w := p.workers[workerID]
	if w == nil || !w.isReady() {
		p.results.AttemptEnded(attemptID, router.AttemptResult{Outcome: policy.Unreachable})
		return
	}
	call := newAttemptCall(attemptID, request, p.cfg.Classes[request.Class], p.now+budget)
	c := p.selectConnection(w, call)
	if c == nil {
		p.results.AttemptEnded(attemptID, router.AttemptResult{Outcome: policy.NotSent})
		return
	}
	p.attempts[attemptID] = call
	p.unsent = append(p.unsent, call)
	c.send(call)
}

// SendableAttempts appends the attempts that wait for SendAttempt on an open connection to ids, in the order of
// StartAttempt.
func (p *Pool) SendableAttempts(ids []router.AttemptID) []router.AttemptID {
	p.unsent = slices.DeleteFunc(p.unsent, func(call *pendingCall) bool {
		return call.written || p.attempts[call.attemptID] != call
	})
	for _, call := range p.unsent {
		if call.connection.canWriteAttempts() {
			ids = append(ids, call.attemptID)
		}
	}
	return ids
}

// SendAttempt writes an attempt that waits on an open connection. An attempt whose budget is spent ends as NotSent.
// SendAttempt does nothing if the attempt waits for a dial, has been written or has ended.
func (p *Pool) SendAttempt(attemptID router.AttemptID) {
	call := p.attempts[attemptID]
	if call == nil || !call.connection.canWriteAttempts() || !call.connection.unqueue(call) {
		return
	}
	if call.budgetEnd <= p.cfg.ReadClock() {
		call.connection.release(call)
		p.endUnanswered(call, policy.NotSent)
		return
	}
	call.connection.write(call)
}

// CancelUnsent cancels an attempt that has not been written. No result is reported, and a dial continues. If the attempt
// has ended, CancelUnsent returns false. If it has been written, CancelUnsent returns false, and the connection is closed
// unless the attempt reaches the worker soon (see CheckDeliveries).
func (p *Pool) CancelUnsent(attemptID router.AttemptID) bool {
	call := p.attempts[attemptID]
	if call == nil {
		return false
	}
	if call.written {
		call.connection.watchDelivery(call)
		return false
	}
	delete(p.attempts, attemptID)
	call.connection.dequeue(call)
	return true
}

// CancelAttempt cancels an attempt. No result is reported. The worker may still run an attempt that was written; it
// gets a cancel command if Config.AllowCancel is set. The connection does not carry the attempt's wire ID again while
// recentIDs holds it, because an answer to the cancelled attempt must not end another attempt of the same request. The
// worker ID is unused; router.WorkerPool requires the parameter.
func (p *Pool) CancelAttempt(_ policy.WorkerID, attemptID router.AttemptID) {
	call := p.attempts[attemptID]
	if call == nil || p.CancelUnsent(attemptID) {
		return
	}
	delete(p.attempts, attemptID)
	call.connection.release(call)
	if p.cfg.AllowCancel {
		call.connection.writeBytes(encodeCommand(commandCancel, call.wireID))
	}
}

// LoadInstance commands a worker to keep this number of instances of a function loaded. With 0, the worker only reports
// how many instances are loaded. The command ends as Unreachable if the worker is unknown or no connection can carry
// the command. With a number above 0 it also ends as Unreachable if the worker is not ready.
func (p *Pool) LoadInstance(workerID policy.WorkerID, function policy.FunctionID, instances int,
	controlID router.ControlID,
) {
	p.sendControl(workerID, newLoadCommandCall(controlID, function, instances))
}

// CheckHealth requests a worker's health and load report, whatever the worker's state. The health check ends as
// Unreachable if the worker is unknown or no connection can carry it.
func (p *Pool) CheckHealth(workerID policy.WorkerID, controlID router.ControlID) {
	p.sendControl(workerID, newHealthCheckCall(controlID))
}

// sendControl sends a load command or a health check. The call ends as Unreachable if the worker is unknown, if the
// call needs a ready worker and this worker is not ready, or if no connection can carry the call.
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

// CancelControl cancels the load command or health check with this ControlID. No result is reported. The worker is not
// notified and may still execute the command. The wire ID of the call is not added to recentIDs, because a ControlID is
// used only once.
func (p *Pool) CancelControl(workerID policy.WorkerID, controlID router.ControlID) {
	w := p.workers[workerID]
	if w == nil {
		return
	}
	for _, c := range w.connections {
		for _, wireID := range []string{loadCommandWireID(controlID), healthCheckWireID(controlID)} {
			if call := c.pending[wireID]; call != nil {
				c.dequeue(call) // does nothing if the call was written
				c.release(call) // does nothing if the call was queued
			}
		}
	}
}

// UnloadInstance commands a worker to unload the idle instances of a function. The command has no answer. It is sent
// over the oldest connection whose dial has ended, and is lost if the pool has already closed that connection. Without
// such a connection nothing is sent: a dial is not worth its cost, because idle instances expire without the command.
func (p *Pool) UnloadInstance(workerID policy.WorkerID, function policy.FunctionID) {
	w := p.workers[workerID]
	if w == nil {
		return
	}
	for _, c := range w.connections {
		if c.state != stateConnecting {
			c.writeBytes(encodeCommand(commandUnload, formatFunctionID(function)))
			return
		}
	}
}

// endUnanswered reports the outcome of a call that got no answer. The call must not be pending on a connection.
func (p *Pool) endUnanswered(call *pendingCall, outcome policy.Outcome) {
	switch call.kind {
	case attemptCall:
		delete(p.attempts, call.attemptID)
		p.results.AttemptEnded(call.attemptID, router.AttemptResult{
			Outcome:         outcome,
			AnswerCorrupted: outcome == policy.ConnectionReset && call.connection.answerCorrupted,
		})
	case loadCommandCall:
		p.results.LoadCommandEnded(call.controlID, outcome, 0)
	case healthCheckCall:
		if outcome == policy.NotSent {
			// The policy treats NotSent as an answer from the worker (see HealthCheckEnded), but the worker sent none.
			outcome = policy.Unreachable
		}
		p.results.HealthCheckEnded(call.controlID, outcome, nil)
	case keepAliveCall: // the result is not reported outside this package
	}
}
