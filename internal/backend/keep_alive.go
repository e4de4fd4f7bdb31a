package backend

import (
	"errors"
	"time"
)

// If a keep-alive check is unanswered because the network has cut off the connection, the pool closes this connection
// only if the worker has answered, on another connection, a call that was sent after the check. If that answer arrives
// before keepAliveTimeout has passed since the check, the pool closes the cut-off connection 0.4 s to 0.5 s after its
// oldest attempt in flight was sent or its last complete answer arrived, whichever is later. The lower bound is the sum
// of keepAliveAfter and keepAliveTimeout. The upper bound adds two SweepIntervals, because a sweep detects the end of
// each duration up to one SweepInterval late. If the answer on the other connection arrives later, the pool closes the
// cut-off connection in the first sweep after that answer.
const (
	// keepAliveAfter is how long a connection with attempts in flight may go without a complete answer. After that the
	// pool sends a keep-alive check over the connection and prefers other connections until an answer arrives.
	keepAliveAfter = 150 * time.Millisecond

	// keepAliveTimeout is how long a keep-alive check may be unanswered. After that the connection is closed if the
	// worker has answered, on another connection, a call that was sent after the keep-alive check.
	keepAliveTimeout = 250 * time.Millisecond
)

// errUnresponsiveConnection means that a connection delivers no answers while the worker answers on another connection.
var errUnresponsiveConnection = errors.New("keep-alive check unanswered while the worker answers on another connection")

// keepAlive holds the times that show whether a connection still works. A keep-alive check tests one connection, and
// its result is used only in this package. A health check tests a worker, and its result is reported to the policy.
//
// A keep-alive check is sent as a call of kind keepAliveCall. Any complete answer on the connection answers the check,
// because it shows that the connection works; an answer with the call's own wire ID that arrives later is ignored. A
// connection on which only a check is pending counts as idle, so that a connection that the network has cut off is closed
// although its check is never answered.
type keepAlive struct {
	lastAnswerAt             time.Duration // when the last complete answer arrived
	latestSendOfAnsweredCall time.Duration // latest send time among the answered calls of the connection
	check                    *pendingCall  // the unanswered keep-alive check; nil if there is none
}

// awaitsAnswer reports whether a keep-alive check was sent and no complete answer has arrived since then.
func (k *keepAlive) awaitsAnswer() bool { return k.check != nil }

// recordAnswer records a complete answer on c, which answers the keep-alive check.
func (c *connection) recordAnswer() {
	c.keepAlive.lastAnswerAt = c.pool.now
	if check := c.keepAlive.check; check != nil {
		c.keepAlive.check = nil
		c.release(check)
	}
}

// checkResponsiveness sends a keep-alive check over a connection that has received no complete answer for
// keepAliveAfter, and closes the connection if the check is unanswered for keepAliveTimeout while the worker answers on
// another connection. A connection that the network has cut off stays open without delivering data, while other
// connections to the same worker may work; the worker remains usable. A connection without attempts in flight is
// neither checked nor closed here. An incomplete answer does not postpone the keep-alive check.
func (c *connection) checkResponsiveness() {
	now := c.pool.now
	oldest := c.oldestAttemptSentAt()
	if oldest == 0 || now-max(oldest, c.keepAlive.lastAnswerAt) <= keepAliveAfter {
		return
	}
	if !c.keepAlive.awaitsAnswer() {
		c.sendKeepAliveCheck()
		return
	}
	checkSentAt := c.keepAlive.check.sentAt
	if now-checkSentAt > keepAliveTimeout && c.worker.answeredCallSentAfter(checkSentAt) {
		c.closeWithError(errUnresponsiveConnection)
	}
}

// oldestAttemptSentAt returns when the oldest attempt in flight was sent, or 0 if there is none.
func (c *connection) oldestAttemptSentAt() time.Duration {
	oldest := time.Duration(0)
	for _, call := range c.pending {
		if call.kind == attemptCall && call.written && (oldest == 0 || call.sentAt < oldest) {
			oldest = call.sentAt
		}
	}
	return oldest
}

// sendKeepAliveCheck sends a keep-alive check over c. From then until a complete answer arrives, Pool.preferenceFor
// returns unresponsive for c, or notEligible for a call that c must not carry.
func (c *connection) sendKeepAliveCheck() {
	c.pool.keepAlivesSent++
	c.keepAlive.check = newKeepAliveCall(c.pool.keepAlivesSent)
	c.send(c.keepAlive.check)
}
