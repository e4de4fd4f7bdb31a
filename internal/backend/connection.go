package backend

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/policy"
)

const (
	// maxHealthCheckResends is how often a health check is sent again after its connection broke.
	maxHealthCheckResends = 2

	// maxDialRetries is how often a call that waits for a dial gets another one after a reset.
	maxDialRetries = 2
)

// connectionState is where a connection stands between its dial and its close.
type connectionState uint8

const (
	connecting connectionState = iota // calls wait in its queue
	ready
	draining // it takes no new calls and closes once the pending ones have ended
	closed   // closed by the pool: what the worker still sends is ignored
)

// String names the state for logs and test failures.
func (s connectionState) String() string {
	return [...]string{"connecting", "ready", "draining", "closed"}[s]
}

// connection is one connection to a worker. It is the eventloop.DialHandler of its transport.
type connection struct {
	pool      *Pool
	worker    *worker
	transport Transport // nil until Config.Dial has returned
	state     connectionState

	pending   map[string]*pendingCall // calls without an answer, by token
	attempts  int                     // attempts among them
	queued    []*pendingCall          // those of them that wait for the dial, in the order of their sending
	recentIDs recentIDs               // of attempts that were written and have ended

	dialedAt   time.Duration
	lastUsedAt time.Duration // when a call was last written or answered

	partial   partialAnswer
	keepAlive keepAlive
}

func (c *connection) idle() bool { return len(c.pending) == 0 }

// takesCalls reports whether new calls may go over c, now or once its dial has come up.
func (c *connection) takesCalls() bool { return c.state == connecting || c.state == ready }

// send writes call, or queues it until the dial has come up.
func (c *connection) send(call *pendingCall) {
	call.connection = c
	c.pending[call.token] = call
	if call.kind == attemptCall {
		c.attempts++
	}
	if c.state == connecting {
		c.queued = append(c.queued, call)
		return
	}
	c.write(call)
}

func (c *connection) write(call *pendingCall) {
	call.written = true
	call.sentAt = c.pool.now
	c.lastUsedAt = c.pool.now
	if call.kind == attemptCall {
		c.transport.Write(call.encodeAttemptHeader(c.pool.now), call.body, lineEnd)
	} else {
		c.transport.Write(call.header)
	}
	call.header = nil
	call.body = nil
}

// release removes call from the pending calls, if it still is one. The id of an attempt that was written is not
// used on this connection again.
func (c *connection) release(call *pendingCall) {
	if c.pending[call.token] != call {
		return
	}
	delete(c.pending, call.token)
	if call.kind == attemptCall {
		c.attempts--
		if call.written {
			c.recentIDs.add(call.token)
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

// failQueued ends the calls that wait for the dial, except health checks. A dial that nothing waits for any more
// is cancelled.
func (c *connection) failQueued() {
	var kept []*pendingCall
	for _, call := range c.queued {
		if call.kind == healthCheckCall {
			kept = append(kept, call)
			continue
		}
		c.release(call)
		outcome := policy.Unreachable
		if call.kind == loadCommandCall {
			outcome = policy.WorkerOverloaded // the answer of a draining worker
		}
		c.pool.endUnanswered(call, outcome)
	}
	c.queued = kept
	if c.state == connecting && len(kept) == 0 {
		c.retire()
	}
}

// close ends the connection, and OnClose follows. No new call may go over it: it would count as written.
func (c *connection) close() {
	c.state = closed
	c.transport.Close()
}

// closeWithError closes a connection that is of no further use.
func (c *connection) closeWithError(err error) {
	slog.Warn("worker connection closed", "address", c.worker.address, "state", c.state.String(), "error", err)
	c.close()
}

// retire drains c: it takes no new calls and closes once the pending ones have ended. A dial is cancelled.
func (c *connection) retire() {
	switch {
	case c.state == connecting:
		c.close()
		c.terminate(policy.Unreachable, false)
	case c.idle():
		c.close()
	case c.state == ready:
		c.state = draining
	}
}

// OnOpen handles the end of the dial. A refusal or a timeout proves that nothing ran. A reset comes from a
// process that runs, so that it would be wrong to call its worker unreachable: the queued calls get another dial.
func (c *connection) OnOpen(err error) {
	if err != nil {
		slog.Warn("worker dial failed", "address", c.worker.address, "error", err)
		reset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
		outcome := policy.Unreachable
		if errors.Is(err, eventloop.ErrLocalFault) {
			outcome = policy.NotSent // the worker is not to blame
		}
		c.terminate(outcome, reset)
		return
	}
	if c.state == connecting {
		c.state = ready
	}
	queued := c.queued
	c.queued = nil
	for _, call := range queued {
		if call.kind == attemptCall && call.deadline <= c.pool.now {
			c.release(call) // its client waits no longer
			c.pool.endUnanswered(call, policy.NotSent)
			continue
		}
		c.write(call)
	}
}

// OnClose handles the end of an open connection: the attempts that were pending on it may have run.
func (c *connection) OnClose(err error) {
	if len(c.pending) > 0 {
		c.pool.losses.record(c.pool.now, c.worker.address, len(c.pending), err)
	}
	c.terminate(policy.ConnectionReset, false)
}

// terminate removes c from its worker and ends the pending calls with this outcome, except those that are sent
// again over another connection. Calls are written as soon as the dial has come up, so that those of a failed dial
// were never sent, and those of an open connection were. With redial the former are sent again.
func (c *connection) terminate(outcome policy.Outcome, redial bool) {
	c.worker.remove(c)
	pending := inTokenOrder(c.pending)
	clear(c.pending)
	c.queued = nil
	for _, call := range pending {
		switch {
		case call.kind == healthCheckCall && outcome == policy.ConnectionReset && call.resends < maxHealthCheckResends:
			c.resendHealthCheck(call)
		case redial && c.resendUnsent(call):
		default:
			c.pool.endUnanswered(call, outcome)
		}
	}
}

// resendHealthCheck sends a health check over another connection. A broken connection says nothing of its worker, which
// others may well be using. A worker that died refuses a new one, and a healthy one answers on it.
func (c *connection) resendHealthCheck(call *pendingCall) {
	again := newHealthCheckCall(call.control)
	again.resends = call.resends + 1
	c.pool.sendControl(c.worker.id, again, false)
}

// resendUnsent sends a call that has not been written over another connection, if the worker takes calls, the
// call's retries are not spent and there is such a connection.
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
