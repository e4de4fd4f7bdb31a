package backend

import (
	"errors"
	"time"
)

// With the sweep intervals, these two durations close a connection that the network has cut off about 0.5 s after its
// oldest attempt in flight was sent, provided that the worker answers on other connections.
const (
	// keepAliveAfter is how long a connection with attempts in flight may receive no complete answer. After that the
	// pool sends a keep-alive check over it and prefers other connections until an answer arrives.
	keepAliveAfter = 150 * time.Millisecond

	// keepAliveTimeout is how long a keep-alive check may be unanswered. After that the connection is closed if the
	// worker has answered, on another connection, a call that was sent after the keep-alive check.
	keepAliveTimeout = 250 * time.Millisecond
)

// errUnresponsiveConnection means that a connection delivers no answers while the worker answers on another connection.
var errUnresponsiveConnection = errors.New("keep-alive check unanswered while the worker answers on another connection")

// keepAlive holds the times that show whether a connection still works. A keep-alive check tests one connection, and
// its result is used only in this package. A health check tests a worker, and its result is reported to the policy. Any
// complete answer on the connection counts as an answer to the keep-alive check, but the keep-alive call stays pending
// until the answer with its own wire ID arrives.
type keepAlive struct {
	lastAnswerAt           time.Duration // when the last complete answer arrived
	lastAnsweredCallSentAt time.Duration // the latest time at which a call that has been answered was sent
	checkSentAt            time.Duration // when the unanswered keep-alive check was sent; 0 if there is none
}

// awaitsAnswer reports whether a keep-alive check was sent and no complete answer has arrived since then.
func (k *keepAlive) awaitsAnswer() bool { return k.checkSentAt > 0 }

// checkKeepAlive sends a keep-alive check over a connection that has received no complete answer for keepAliveAfter,
// and closes the connection if the check is unanswered for keepAliveTimeout while the worker answers on another
// connection. A connection that the network has cut off stays open without delivering data, while other connections to
// the same worker may work; the worker remains usable. A connection without attempts in flight is neither checked nor
// closed here. Incomplete answers do not count as activity.
func (c *connection) checkKeepAlive() {
	now := c.pool.now
	oldest := c.oldestAttemptSentAt()
	if oldest == 0 || now-max(oldest, c.keepAlive.lastAnswerAt) <= keepAliveAfter {
		return
	}
	if !c.keepAlive.awaitsAnswer() {
		c.sendKeepAlive()
		return
	}
	checkSentAt := c.keepAlive.checkSentAt
	if now-checkSentAt > keepAliveTimeout && c.worker.answeredCallSentAfter(checkSentAt) {
		c.closeWithError(errUnresponsiveConnection)
	}
}

// oldestAttemptSentAt returns when the oldest attempt in flight was written, or 0 if there is none.
func (c *connection) oldestAttemptSentAt() time.Duration {
	oldest := time.Duration(0)
	for _, call := range c.pending {
		if call.kind == attemptCall && call.written && (oldest == 0 || call.sentAt < oldest) {
			oldest = call.sentAt
		}
	}
	return oldest
}

// sendKeepAlive sends a keep-alive check over c.
func (c *connection) sendKeepAlive() {
	c.keepAlive.checkSentAt = c.pool.now
	c.pool.keepAlivesSent++
	c.send(newKeepAliveCall(c.pool.keepAlivesSent))
}
