package backend

import (
	"errors"
	"net"
	"syscall"

	"functionrouter/internal/eventloop"
	"functionrouter/policy"
)

const (
	// maxHealthCheckResends is how many times a health check is sent again after its connection was lost. The limit
	// lets the health check fail if every connection to the worker is lost.
	maxHealthCheckResends = 2

	// maxDialRetries is how many times a queued call is moved to another connection after the dial for which it waited
	// was reset. Both limits are compared with pendingCall.resends, which counts resends for either reason.
	maxDialRetries = 2
)

// connectionEnd describes how the end of a connection affects the calls that are pending on it.
type connectionEnd struct {
	outcome      policy.Outcome // the outcome of calls that are not sent again
	resendUnsent bool           // whether the calls, all unsent, are moved to another connection if possible
}

// endForDialError returns how a failed dial affects the queued calls, none of which was written. After most errors,
// such as a refused connection or a timeout, the calls end as Unreachable. After a reset they are moved to another
// connection: a reset comes from a running process, so the worker is not yet considered unreachable. net.ErrClosed is
// handled like a reset, although no dial of eventloop.Loop fails with it. After eventloop.ErrLocalFault the calls end
// as NotSent, because a fault of the router's machine is no evidence against the worker.
func endForDialError(err error) connectionEnd {
	end := connectionEnd{
		outcome:      policy.Unreachable,
		resendUnsent: errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed),
	}
	if errors.Is(err, eventloop.ErrLocalFault) {
		end.outcome = policy.NotSent
	}
	return end
}

// OnClose handles the end of an open connection, whether the worker, the network or the pool ended it. Its pending
// attempts and load commands end as ConnectionReset, because the worker may have executed them. Its pending health
// checks are sent again up to maxHealthCheckResends times.
func (c *connection) OnClose(err error) {
	if !c.idle() {
		c.pool.lostConnections.record(c.pool.now, c.worker.address, len(c.pending), err)
	}
	c.terminate(connectionEnd{outcome: policy.ConnectionReset})
}

// terminate removes c from its worker and then, in the order of their wire IDs, ends the pending calls or sends them
// again over another connection. c is removed first so that no call is sent over it again.
func (c *connection) terminate(end connectionEnd) {
	c.worker.remove(c)
	pending := sortedByWireID(c.pending)
	clear(c.pending)
	c.queued = nil
	for _, call := range pending {
		callEnd := end
		if end.outcome == policy.ConnectionReset && !call.written {
			callEnd = unsentEnd
		}
		if !c.resend(call, callEnd) {
			c.pool.endUnanswered(call, callEnd.outcome)
		}
	}
}

// unsentEnd is how the end of an open connection affects the attempts that have not been written.
var unsentEnd = connectionEnd{outcome: policy.Unreachable, resendUnsent: true}

// resend sends call again over another connection if its kind and the end of c allow that. It returns false if the
// caller must end the call.
func (c *connection) resend(call *pendingCall, end connectionEnd) bool {
	if call.mayResendAfter(end.outcome) {
		c.resendHealthCheck(call)
		return true
	}
	return end.resendUnsent && c.resendUnsent(call)
}

// mayResendAfter reports whether call may be sent again after its connection ended with outcome. This is the case for a
// health check after ConnectionReset, up to maxHealthCheckResends times.
func (call *pendingCall) mayResendAfter(outcome policy.Outcome) bool {
	return call.kind == healthCheckCall && outcome == policy.ConnectionReset && call.resends < maxHealthCheckResends
}

// resendHealthCheck sends a health check over another connection, or ends it as Unreachable if no connection can carry
// it. The loss of one connection does not show that the worker is unhealthy: a healthy worker answers on another
// connection, and a dial to a worker whose process has ended is refused.
func (c *connection) resendHealthCheck(call *pendingCall) {
	resent := newHealthCheckCall(call.controlID)
	resent.resends = call.resends + 1
	c.pool.sendControl(c.worker.id, resent)
}

// resendUnsent sends a call that has not been written over another connection. It returns false and sends nothing if
// the worker is not ready, if the call has already been resent maxDialRetries times, or if no other connection can
// carry it.
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
