package eventloop

import "time"

const (
	// sweepInterval is how often connections are checked for timeouts, and the longest time that the loop waits for
	// events.
	sweepInterval = 200 * time.Millisecond

	// closeTimeout is how long the peer of an accepted connection may take to read its last answers after the handler
	// has called CloseAfterFlush. The time starts at the connection's last complete message or answer, not at the call.
	closeTimeout = 2 * time.Second
)

// sweep closes the accepted connections that have timed out, and writes the log lines that are due. If it takes longer
// than inputBudget, the next turn goes on.
func (l *Loop) sweep() {
	l.lastSweep = l.now
	began := l.clock.now()
	for c := range l.accepted {
		if _, timedOut := c.timedOut(); !timedOut {
			continue
		}
		c.closeTimedOut()
		if l.clock.now()-began >= inputBudget {
			l.lastSweep = 0
			break
		}
	}
	l.logRefusals()
	l.logInterrupted()
}

// closeTimedOut closes a connection that has timed out. It first reads what has arrived: the timeout counts from what has
// been read, and the rest of a message may have arrived since then, while the machine paused the process or behind other
// input.
func (c *Conn) closeTimedOut() {
	if c.readsInput() {
		c.readArrived()
		c.loop.deferCall(func() {}) // the next turn handles at once what has been read
		if c.progress.unread {
			return // a request may be in the input that is left
		}
	}
	if cause, timedOut := c.timedOut(); timedOut {
		c.closeWithCause(cause)
	}
}

// timedOut reports whether an accepted connection must be closed because of a timeout, and the cause to close it with.
// A connection with open requests times out only while it is flushing.
func (c *Conn) timedOut() (cause CloseCause, timedOut bool) {
	if c.state == stateFlushing && c.loop.now-c.activity.lastActivity > closeTimeout {
		return PeerNotReading, true
	}
	cause, timedOut = c.activity.timedOut(c.loop.now, len(c.unsent) > 0)
	return cause, timedOut && !c.hasOpenRequests()
}
