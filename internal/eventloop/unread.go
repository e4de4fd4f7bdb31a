package eventloop

import "errors"

// Unread bytes are bytes written to a connection that the kernel does not take because the socket's send buffer is
// full: the peer reads slowly or not at all. They are limited by maxConnUnreadBytes for each connection, and by
// Config.MaxUnreadBytes for all connections in total.

// maxConnUnreadBytes is how many unread bytes the loop keeps for one peer: 32 answers of 16 KiB and their headers. A
// connection with more unread bytes is closed.
const maxConnUnreadBytes = 640 << 10

// errPeerNotReading is the error of a connection that is closed because its peer leaves too many bytes unread, or
// because all peers together leave too many unread.
var errPeerNotReading = errors.New("peer does not read")

// setUnsent sets the bytes that the kernel has yet to take, and updates the loop's total. It updates lastSendProgress
// if there were no unsent bytes before or if the kernel took some, but not if bytes were only added.
func (c *Conn) setUnsent(unsent []byte) {
	if len(c.unsent) == 0 || len(unsent) < len(c.unsent) {
		c.lastSendProgress = c.loop.now
	}
	c.loop.totalUnread += len(unsent) - len(c.unsent)
	c.unsent = unsent
}

// limitUnread closes the connections whose peers have taken nothing for longest until the total is within the limit. A
// connection that got its first unread bytes in this turn is among the last to be closed, because its peer may be
// reading. Adding bytes to unread ones does not change this order (see setUnsent).
func (l *Loop) limitUnread() {
	for l.totalUnread > l.cfg.MaxUnreadBytes {
		stalled := l.longestStalled()
		if stalled == nil {
			return
		}
		stalled.failWrite(errPeerNotReading)
	}
}

// longestStalled returns the connection with unread bytes whose peer has taken nothing for longest, or nil if there is
// none.
func (l *Loop) longestStalled() *Conn {
	var stalled *Conn
	for _, connections := range []map[*Conn]struct{}{l.accepted, l.dialed} {
		for c := range connections {
			if len(c.unsent) > 0 && (stalled == nil || c.lastSendProgress < stalled.lastSendProgress) {
				stalled = c
			}
		}
	}
	return stalled
}

// UnreadBytes returns how many bytes the peers of accepted connections have yet to take, including pending writes.
func (l *Loop) UnreadBytes() int {
	sum := 0
	for c := range l.accepted {
		sum += c.pendingBytes + len(c.unsent)
	}
	return sum
}
