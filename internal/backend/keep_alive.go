package backend

import (
	"errors"
	"time"
)

const (
	// keepAliveAfter is how long a connection with attempts in flight may go without a whole answer. Then it
	// is sent a keep-alive check, and it is avoided until an answer comes.
	keepAliveAfter = 150 * time.Millisecond

	// keepAliveTimeout is how long a keep-alive check may go unanswered. Then the connection is closed if
	// the worker has answered, on another one, a call that was sent after the keep-alive check.
	keepAliveTimeout = 250 * time.Millisecond

	// partialAnswerTimeout bounds the wait for the rest of an answer that has begun.
	partialAnswerTimeout = 600 * time.Millisecond
)

var (
	// errStalledAnswer says that an answer began and did not become whole within partialAnswerTimeout.
	errStalledAnswer = errors.New("answer stalled")

	// errSilentConnection says that a connection stays silent while others to the same worker do not.
	errSilentConnection = errors.New("connection is silent while others to the worker are not")
)

// keepAlive holds what tells whether a connection still works.
type keepAlive struct {
	lastAnswerAt       time.Duration // when the last whole answer came
	lastAnsweredSentAt time.Duration // the latest sending of a call that has been answered
	checkSentAt        time.Duration // when the unanswered keep-alive check was sent; 0: there is none
}

// checkKeepAlive closes the connection if it has stalled or fallen silent. One that is cut off stays open
// without a word, while others to the same worker may work: that is no reason to avoid the whole worker. Single bytes
// prove nothing here; only whole answers count.
func (c *connection) checkKeepAlive() {
	now := c.pool.now
	if len(c.partial.data) > 0 && now-c.partial.since > partialAnswerTimeout {
		c.closeWithError(errStalledAnswer)
		return
	}
	oldest := c.oldestAttemptSentAt()
	if oldest == 0 || now-max(oldest, c.keepAlive.lastAnswerAt) <= keepAliveAfter {
		return
	}
	if c.keepAlive.checkSentAt == 0 {
		c.sendKeepAlive()
		return
	}
	if now-c.keepAlive.checkSentAt > keepAliveTimeout && c.worker.answeredCallSentAfter(c.keepAlive.checkSentAt) {
		c.closeWithError(errSilentConnection)
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

func (c *connection) sendKeepAlive() {
	c.keepAlive.checkSentAt = c.pool.now
	c.pool.keepAlives++
	c.send(newKeepAliveCall(c.pool.keepAlives))
}
