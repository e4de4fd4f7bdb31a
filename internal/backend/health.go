package backend

import (
	"errors"
	"time"
)

const (
	// healthCheckAfter is how long a connection with attempts in flight may go without a whole answer. Then it
	// is sent a health check, and it is avoided until an answer comes.
	healthCheckAfter = 150 * time.Millisecond

	// healthCheckTimeout is how long a health check may go unanswered. Then the connection is closed if
	// the worker has answered, on another one, a call that was sent after the health check.
	healthCheckTimeout = 250 * time.Millisecond

	// partialAnswerTimeout bounds the wait for the rest of an answer that has begun.
	partialAnswerTimeout = 600 * time.Millisecond
)

var (
	// errStalledAnswer says that an answer began and did not become whole within partialAnswerTimeout.
	errStalledAnswer = errors.New("answer stalled")

	// errSilentConnection says that a connection stays silent while others to the same worker do not.
	errSilentConnection = errors.New("connection is silent while others to the worker are not")
)

// connectionHealth holds what a connection's health is judged by.
type connectionHealth struct {
	lastAnswerAt       time.Duration // when the last whole answer came
	lastAnsweredSentAt time.Duration // the latest sending of a call that has been answered
	checkSentAt        time.Duration // when the unanswered health check was sent; 0: there is none
}

// checkHealth closes the connection if it has stalled or fallen silent. One that is cut off stays open
// without a word, while others to the same worker may work: that is no reason to avoid the whole worker. Single bytes
// prove nothing here; only whole answers count.
func (c *connection) checkHealth() {
	now := c.pool.now
	if len(c.partial.data) > 0 && now-c.partial.since > partialAnswerTimeout {
		c.closeWithError(errStalledAnswer)
		return
	}
	oldest := c.oldestAttemptSentAt()
	if oldest == 0 || now-max(oldest, c.health.lastAnswerAt) <= healthCheckAfter {
		return
	}
	if c.health.checkSentAt == 0 {
		c.sendHealthCheck()
		return
	}
	if now-c.health.checkSentAt > healthCheckTimeout && c.worker.answeredCallSentAfter(c.health.checkSentAt) {
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

func (c *connection) sendHealthCheck() {
	c.health.checkSentAt = c.pool.now
	c.pool.healthChecks++
	c.send(newHealthCheckCall(c.pool.healthChecks))
}
