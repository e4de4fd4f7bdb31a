package backend

import (
	"log/slog"
	"slices"
	"time"

	"functionrouter/policy"
)

// connection is one connection to a worker. It implements eventloop.DialHandler for its transport.
type connection struct {
	pool      *Pool
	worker    *worker
	transport Transport // nil until Config.Dial has returned
	state     connectionState

	// pending holds the calls without an answer by wire ID, including the queued calls.
	pending map[string]*pendingCall
	// pendingAttempts is the number of pending calls that are attempts.
	pendingAttempts int
	// queued holds the pending calls that have not been written, in the order in which they were sent: attempts that wait
	// for Pool.SendAttempt and, until the dial succeeds, calls of other kinds.
	queued []*pendingCall
	// recentIDs holds the wire IDs of written attempts that recently ended or were cancelled.
	recentIDs recentIDs

	writtenBytes   int                // number of bytes written
	deliveredBytes int                // how many of them the worker's machine has got at least
	withdrawn      []withdrawnAttempt // attempts whose delivery is watched, in the order of their withdrawal

	dialedAt   time.Duration
	lastUsedAt time.Duration // when a call was last written or answered; initially dialedAt

	answerCorrupted bool // the connection was closed because an answer was malformed

	partial   partialAnswer
	keepAlive keepAlive
}

// send queues an attempt until Pool.SendAttempt writes it. It writes a call of another kind, or queues it until the dial
// succeeds. The caller must have checked with Pool.preferenceFor that c may carry call.
func (c *connection) send(call *pendingCall) {
	call.connection = c
	c.pending[call.wireID] = call
	if call.kind == attemptCall {
		c.pendingAttempts++
	}
	if call.kind == attemptCall || c.state == stateConnecting {
		c.queued = append(c.queued, call)
		return
	}
	c.write(call)
}

// canWriteAttempts reports whether c is open and the worker takes what is written. While it does not, attempts wait, so
// that they can be withdrawn.
func (c *connection) canWriteAttempts() bool {
	isOpen := c.state == stateReady || c.state == stateDraining
	return isOpen && c.transport.Unsent() == 0
}

// write passes the call's command to the transport, which then owns the bytes. A call is written only once.
func (c *connection) write(call *pendingCall) {
	call.written = true
	call.sentAt = c.pool.now
	c.lastUsedAt = c.pool.now
	if call.kind == attemptCall {
		c.writeBytes(call.encodeAttemptHeader(c.pool.cfg.ReadClock()), call.body, crlf)
	} else {
		c.writeBytes(call.command)
	}
	call.endOffset = c.writtenBytes
	call.command = nil
	call.body = nil
}

// writeBytes passes bytes to the transport and counts them.
func (c *connection) writeBytes(bufs ...[]byte) {
	for _, b := range bufs {
		c.writtenBytes += len(b)
	}
	c.transport.Write(bufs...)
}

// release removes call from the pending calls if it is one of them. If call is an attempt that was written, its wire ID
// is added to recentIDs. release does not change the queue: for a queued call use dequeue, or remove the call from the
// queue as well, because every call that is in the queue when the dial succeeds is written.
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

// dequeue removes call from the queue and releases it, if it is queued.
func (c *connection) dequeue(call *pendingCall) {
	if c.unqueue(call) {
		c.release(call)
	}
}

// unqueue removes call from the queue. It reports whether call was queued.
func (c *connection) unqueue(call *pendingCall) bool {
	i := slices.Index(c.queued, call)
	if i < 0 {
		return false
	}
	c.queued = slices.Delete(c.queued, i, i+1)
	return true
}

// failQueued ends the queued calls of a worker that is not ready: attempts end as Unreachable and load commands as
// WorkerOverloaded. Health checks stay queued. If c is still being dialed and no call is left in the queue, failQueued
// cancels the dial.
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
			outcome = policy.WorkerOverloaded // the outcome of a draining worker's answer
		}
		c.pool.endUnanswered(call, outcome)
	}
	c.queued = remaining
	if c.state == stateConnecting && len(remaining) == 0 {
		c.retire()
	}
}

// OnOpen handles the end of the dial. If the dial succeeded, it writes the queued calls in the order in which they were
// sent, except attempts, which go on waiting for Pool.SendAttempt.
func (c *connection) OnOpen(err error) {
	if err != nil {
		slog.Warn("worker dial failed", "address", c.worker.address, "error", err)
		c.terminate(endForDialError(err))
		return
	}
	if c.state == stateConnecting { // a connection that was closed during its dial must not become ready
		c.state = stateReady
	}
	queued := c.queued
	c.queued = nil
	for _, call := range queued {
		if call.kind == attemptCall {
			c.queued = append(c.queued, call)
		} else {
			c.write(call)
		}
	}
}
