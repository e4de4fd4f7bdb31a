package backend

import (
	"errors"
	"time"
)

// With the sweeps between them, these two close a connection that was cut off some 0.5 s after the oldest attempt in flight
// was sent, as long as the worker answers on others.
const (
	// keepAliveAfter is how long a connection with attempts in flight may go without a complete answer. After that a
	// keep-alive check is sent over it, and it is avoided until an answer comes.
	keepAliveAfter = 150 * time.Millisecond

	// keepAliveTimeout is how long a keep-alive check may go unanswered. After that the connection is closed if
	// the worker has answered, on another one, a call that was sent after the keep-alive check.
	keepAliveTimeout = 250 * time.Millisecond
)

// errUnresponsiveConnection says that a connection stays silent while others to the same worker do not.
var errUnresponsiveConnection = errors.New("connection is silent while others to the worker are not")

// keepAlive holds what shows whether a connection still works. The keep-alive check is of one connection, and its result
// stays in this package; the health check is of a worker, and its result goes to the policy. Any complete answer on the
// connection answers a keep-alive check, not only its own; its call stays pending until its own answer comes.
type keepAlive struct {
	lastAnswerAt           time.Duration // when the last complete answer came
	lastAnsweredCallSentAt time.Duration // when the latest of the answered calls was sent
	checkSentAt            time.Duration // when the unanswered keep-alive check was sent; 0: there is none
}

// awaitsAnswer reports whether no complete answer has come since a keep-alive check was sent.
func (k *keepAlive) awaitsAnswer() bool { return k.checkSentAt > 0 }

// checkKeepAlive sends a keep-alive check over a connection that has fallen silent, and closes the connection if the check
// stays unanswered while the worker answers on others. A connection that is cut off stays open and silent, while others to
// the same worker may work: that is no reason to avoid the worker. A connection without attempts in flight is not checked,
// and not closed here. Single bytes prove nothing; only complete answers count.
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

// oldestAttemptSentAt returns when the oldest attempt in flight was written, 0 if there is none.
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
