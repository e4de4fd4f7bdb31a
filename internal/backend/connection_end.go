package backend

import (
	"errors"
	"net"
	"syscall"

	"functionrouter/internal/eventloop"
	"functionrouter/policy"
)

const (
	// maxHealthCheckResends is how often a health check is sent again after its connection broke. A worker that breaks one
	// connection after another fails the health check in the end.
	maxHealthCheckResends = 2

	// maxDialRetries is how often a call that waits for a dial gets another one after a reset. After that it ends. Both
	// limits compare with pendingCall.resends, which counts resends of either kind.
	maxDialRetries = 2
)

// connectionEnd is what the end of a connection means for the calls that are pending on it.
type connectionEnd struct {
	outcome policy.Outcome // of the calls that are not sent again
	resendUnsent  bool           // the calls, of which none was written, are sent over another connection where possible
}

// endForDialError returns what the error of a dial means for the queued calls, of which none was written. After most
// errors, such as a refusal or a timeout, they end as Unreachable. A reset comes from a process that runs, so that it
// would be wrong to call its worker unreachable at once: the calls get another dial. So they do after net.ErrClosed,
// which no dial of eventloop.Loop fails with. A local fault says nothing of the worker.
func endForDialError(err error) connectionEnd {
	end := connectionEnd{
		outcome: policy.Unreachable,
		resendUnsent:  errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed),
	}
	if errors.Is(err, eventloop.ErrLocalFault) {
		end.outcome = policy.NotSent
	}
	return end
}

// OnClose handles the end of an open connection, by the worker, the network or the pool: the attempts that were pending
// on it may have run.
func (c *connection) OnClose(err error) {
	if len(c.pending) > 0 {
		c.pool.lostConnections.record(c.pool.now, c.worker.address, len(c.pending), err)
	}
	c.terminate(connectionEnd{outcome: policy.ConnectionReset})
}

// terminate removes c from its worker, first of all, so that no call is sent over it again. It ends the pending calls in
// the order of their wire ids, except those that are sent again over another connection. Calls are written as soon as the
// dial has succeeded, so that those of a failed dial were never sent, and those of an open connection were.
func (c *connection) terminate(end connectionEnd) {
	c.worker.remove(c)
	pending := sortedByWireID(c.pending)
	clear(c.pending)
	c.queued = nil
	for _, call := range pending {
		if !c.resend(call, end) {
			c.pool.endUnanswered(call, end.outcome)
		}
	}
}

// resend sends a call again over another connection, if its kind and the end of c allow that. It returns false if the call
// has to end.
func (c *connection) resend(call *pendingCall, end connectionEnd) bool {
	if call.mayResendAfter(end.outcome) {
		c.resendHealthCheck(call)
		return true
	}
	return end.resendUnsent && c.resendUnsent(call)
}

// mayResendAfter reports whether a call is a health check that is sent again after its connection ended with outcome.
func (call *pendingCall) mayResendAfter(outcome policy.Outcome) bool {
	return call.kind == healthCheckCall && outcome == policy.ConnectionReset && call.resends < maxHealthCheckResends
}

// resendHealthCheck sends a health check over another connection, or ends it as Unreachable if there is none. That one
// connection broke does not show that its worker is unhealthy: on another one a healthy worker answers, and a worker that
// died refuses the dial.
func (c *connection) resendHealthCheck(call *pendingCall) {
	resent := newHealthCheckCall(call.controlID)
	resent.resends = call.resends + 1
	c.pool.sendControl(c.worker.id, resent)
}

// resendUnsent sends a call that has not been written over another connection. It returns false, and sends nothing, if the
// worker is not ready, the call has been sent again maxDialRetries times, or no other connection can carry the call.
func (c *connection) resendUnsent(call *pendingCall) bool {
	if !c.worker.isReady() || call.resends >= maxDialRetries {
		return false
	}
	call.resends++
	target := c.pool.selectConnection(c.worker, call)
	if target == nil {
		return false
	}
	target.send(call)
	return true
}
