package backend

import (
	"time"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// StartAttempt sends an attempt of r to a worker, which may spend budget on it. It ends as Unreachable if the
// worker is not ready or no connection can carry it.
func (p *Pool) StartAttempt(id policy.WorkerID, a router.AttemptID, r *router.Request, budget time.Duration) {
	w := p.workers[id]
	if w != nil && w.acceptsNew() {
		call := newAttemptCall(a, r, p.cfg.Classes[r.Class], p.now+budget)
		if c := p.selectConnection(w, call); c != nil {
			p.attempts[a] = call
			c.send(call)
			return
		}
	}
	p.results.AttemptEnded(a, policy.Unreachable, policy.InstanceUnknown, nil, nil)
}

// CancelUnsent takes back an attempt that waits for a dial. It returns false if the attempt has been
// written or has ended.
func (p *Pool) CancelUnsent(a router.AttemptID) bool {
	call := p.attempts[a]
	if call == nil || call.written {
		return false
	}
	delete(p.attempts, a)
	call.connection.dequeue(call)
	return true
}

// CancelAttempt gives an attempt up; no result follows. Its connection does not carry its id again: an answer that is
// on its way must not end another attempt of the same request. The worker is told where the settings
// allow it.
func (p *Pool) CancelAttempt(_ policy.WorkerID, a router.AttemptID) {
	call := p.attempts[a]
	if call == nil || p.CancelUnsent(a) {
		return
	}
	delete(p.attempts, a)
	call.connection.release(call)
	if p.cfg.AllowCancel {
		call.connection.transport.Write(encodeCommand(commandCancel, call.token))
	}
}

// LoadInstance commands a worker to have count instances of a function loaded; a count of 0 only asks for the
// number of loaded ones.
func (p *Pool) LoadInstance(id policy.WorkerID, f policy.FunctionID, count int, control router.ControlID) {
	p.sendControl(id, newLoadCommandCall(control, f, count), count > 0)
}

// CheckHealth asks a worker for a sign of health and for its load report.
func (p *Pool) CheckHealth(id policy.WorkerID, control router.ControlID) {
	p.sendControl(id, newHealthCheckCall(control), false)
}

// sendControl sends a load command or a health check. One that needs a ready worker ends as Unreachable at any other.
func (p *Pool) sendControl(id policy.WorkerID, call *pendingCall, needsReady bool) {
	w := p.workers[id]
	if w != nil && (w.acceptsNew() || !needsReady) {
		if c := p.selectConnection(w, call); c != nil {
			c.send(call)
			return
		}
	}
	p.endUnanswered(call, policy.Unreachable)
}

// CancelControl drops the load command and the health check with this id; no result follows.
func (p *Pool) CancelControl(id policy.WorkerID, control router.ControlID) {
	w := p.workers[id]
	if w == nil {
		return
	}
	for _, c := range w.connections {
		for _, token := range []string{loadCommandToken(control), healthCheckToken(control)} {
			if call := c.pending[token]; call != nil {
				c.dequeue(call)
				c.release(call)
			}
		}
	}
}

// UnloadInstance commands a worker to unload the idle instances of a function; it has no answer. Where no
// connection is open it does nothing: idle instances expire by themselves, which makes them not worth a dial.
func (p *Pool) UnloadInstance(id policy.WorkerID, f policy.FunctionID) {
	w := p.workers[id]
	if w == nil {
		return
	}
	for _, c := range w.connections {
		if c.state != connecting {
			c.transport.Write(encodeCommand(commandUnload, formatFunctionID(f)))
			return
		}
	}
}

// endUnanswered reports a result that came without an answer.
func (p *Pool) endUnanswered(call *pendingCall, outcome policy.Outcome) {
	switch call.kind {
	case attemptCall:
		delete(p.attempts, call.attempt)
		p.results.AttemptEnded(call.attempt, outcome, policy.InstanceUnknown, nil, nil)
	case loadCommandCall:
		p.results.LoadCommandEnded(call.control, outcome, 0)
	case healthCheckCall:
		if outcome == policy.NotSent { // it is no sign of life either
			outcome = policy.Unreachable
		}
		p.results.HealthCheckEnded(call.control, outcome, nil)
	case keepAliveCall: // nobody outside this package knows of it
	}
}
