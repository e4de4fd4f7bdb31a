package backend

import "functionrouter/policy"

const (
	// maxHealthCheckResends is how often a health check is sent again after its connection broke.
	maxHealthCheckResends = 2

	// maxDialRetries is how often a call that waits for a dial gets another one after a reset.
	maxDialRetries = 2
)

// connectionEnd is what the end of a connection means for the calls that are pending on it.
type connectionEnd struct {
	outcome policy.Outcome // with which they end
	redial  bool           // no call was written, and each is first sent again over another connection
}

// OnClose handles the end of an open connection: the attempts that were pending on it may have run.
func (c *connection) OnClose(err error) {
	if len(c.pending) > 0 {
		c.pool.lostConnections.record(c.pool.now, c.worker.address, len(c.pending), err)
	}
	c.terminate(connectionEnd{outcome: policy.ConnectionReset})
}

// terminate removes c from its worker and ends the pending calls, except those that are sent again over another
// connection. Calls are written as soon as the dial has succeeded, so that those of a failed dial were never sent, and
// those of an open connection were.
func (c *connection) terminate(end connectionEnd) {
	c.worker.remove(c)
	pending := inWireIDOrder(c.pending)
	clear(c.pending)
	c.queued = nil
	for _, call := range pending {
		switch {
		case call.resendsAfter(end.outcome):
			c.resendHealthCheck(call)
		case end.redial && c.resendUnsent(call):
		default:
			c.pool.endUnanswered(call, end.outcome)
		}
	}
}

// resendsAfter reports whether a call is a health check that is sent again after its connection ended with outcome.
func (call *pendingCall) resendsAfter(outcome policy.Outcome) bool {
	return call.kind == healthCheckCall && outcome == policy.ConnectionReset && call.resends < maxHealthCheckResends
}

// resendHealthCheck sends a health check over another connection. A broken connection is no sign that its worker is
// unhealthy, which others may well be using. A worker that died refuses a new one, and a healthy one answers on it.
func (c *connection) resendHealthCheck(call *pendingCall) {
	again := newHealthCheckCall(call.control)
	again.resends = call.resends + 1
	c.pool.sendControl(c.worker.id, again)
}

// resendUnsent sends a call that has not been written over another connection. It returns false, and does nothing, if the
// worker takes no calls, the call's retries are spent or no other connection can carry the call.
func (c *connection) resendUnsent(call *pendingCall) bool {
	if !c.worker.acceptsNew() || call.resends >= maxDialRetries {
		return false
	}
	call.resends++
	other := c.pool.selectConnection(c.worker, call)
	if other == nil {
		return false
	}
	other.send(call)
	return true
}
