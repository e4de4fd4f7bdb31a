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

// sweep closes the accepted connections that have timed out, and writes the log lines that are due.
func (l *Loop) sweep() {
	l.lastSweep = l.now
	for c := range l.accepted {
		if cause, timedOut := c.timedOut(); timedOut {
			c.closeWithCause(cause)
		}
	}
	l.logRefusals()
	l.logInterrupted()
}

// timedOut reports whether an accepted connection must be closed because of a timeout, and the cause to close it with.
// A connection with open requests times out only while it is flushing.
func (c *Conn) timedOut() (cause CloseCause, timedOut bool) {
	if c.state == stateFlushing && c.loop.now-c.activity.lastActivity > closeTimeout {
		return PeerNotReading, true
	}
	cause, timedOut = c.activity.timedOut(c.loop.now, len(c.unsent) > 0)
	if !timedOut || c.hasOpenRequests() {
		return cause, false
	}
	if cause == IdleTimeout && c.hasInput() {
		return cause, false // a request may be in the unread input
	}
	return cause, true
}
