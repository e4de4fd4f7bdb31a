package backend

import (
	"log/slog"
	"time"

	"functionrouter/policy"
)

// connection is one connection to a worker. It is the eventloop.DialHandler of its transport.
type connection struct {
	pool      *Pool
	worker    *worker
	transport Transport // nil until Config.Dial has returned
	state     connectionState

	// pending holds the calls without an answer, the queued ones included, by wire id.
	pending map[string]*pendingCall
	// pendingAttempts is how many of the pending calls are attempts.
	pendingAttempts int
	// queued holds the pending calls that wait for the dial, in the order of their sending.
	queued []*pendingCall
	// recentIDs holds the wire ids of attempts that were written and have ended or been cancelled, for a time.
	recentIDs recentIDs

	dialedAt   time.Duration
	lastUsedAt time.Duration // when a call was last written or answered; at first dialedAt

	partial   partialAnswer
	keepAlive keepAlive
}

// send writes call, or queues it until the dial has succeeded. Pool.preferenceFor must have found c eligible for it.
func (c *connection) send(call *pendingCall) {
	call.connection = c
	c.pending[call.wireID] = call
	if call.kind == attemptCall {
		c.pendingAttempts++
	}
	if c.state == stateConnecting {
		c.queued = append(c.queued, call)
		return
	}
	c.write(call)
}

// write hands the call's command to the transport, which owns its bytes from then on: a call is written once.
func (c *connection) write(call *pendingCall) {
	call.written = true
	call.sentAt = c.pool.now
	c.lastUsedAt = c.pool.now
	if call.kind == attemptCall {
		c.transport.Write(call.encodeAttemptHeader(c.pool.now), call.body, crlf)
	} else {
		c.transport.Write(call.command)
	}
	call.command = nil
	call.body = nil
}

// release removes call from the pending calls, if it still is one. The connection then remembers the wire id of an attempt
// that was written. A call that waits for the dial is released by dequeue or by the caller that empties the queue: one that
// stayed in it would be written.
func (c *connection) release(call *pendingCall) {
	if c.pending[call.wireID] != call {
		return
	}
	delete(c.pending, call.wireID)
	if call.kind == attemptCall {
		c.pendingAttempts--
		if call.written {
			c.recentIDs.add(call.wireID)
		}
	}
}

// dequeue releases call if it waits for the dial.
func (c *connection) dequeue(call *pendingCall) {
	for i, q := range c.queued {
		if q == call {
			c.queued = append(c.queued[:i], c.queued[i+1:]...)
			c.release(call)
			return
		}
	}
}

// failQueued ends the calls that wait for the dial because their worker is not ready any more: attempts as Unreachable,
// load commands as WorkerOverloaded. Health checks stay. A dial for which no call waits any longer is cancelled.
func (c *connection) failQueued() {
	var remaining []*pendingCall
	for _, call := range c.queued {
		if call.kind == healthCheckCall {
			remaining = append(remaining, call)
			continue
		}
		c.release(call)
		outcome := policy.Unreachable
		if call.kind == loadCommandCall {
			outcome = policy.WorkerOverloaded // as a draining worker answers it
		}
		c.pool.endUnanswered(call, outcome)
	}
	c.queued = remaining
	if c.state == stateConnecting && len(remaining) == 0 {
		c.retire()
	}
}

// OnOpen handles the end of the dial. It writes the queued calls in the order in which they were sent; an attempt whose
// budget is spent ends as NotSent instead.
func (c *connection) OnOpen(err error) {
	if err != nil {
		slog.Warn("worker dial failed", "address", c.worker.address, "error", err)
		c.terminate(endForDialError(err))
		return
	}
	if c.state == stateConnecting { // a closed connection, whose dial should not be reported, must not become ready
		c.state = stateReady
	}
	queued := c.queued
	c.queued = nil
	for _, call := range queued {
		if call.kind == attemptCall && call.budgetEnd <= c.pool.now {
			c.release(call)
			c.pool.endUnanswered(call, policy.NotSent)
			continue
		}
		c.write(call)
	}
}
