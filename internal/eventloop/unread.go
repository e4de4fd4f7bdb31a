package eventloop

import "errors"

// Unread bytes are those written to a connection that the kernel does not take, since the peer reads slowly or not at
// all and the socket's send buffer is full. They are bounded for each connection by maxConnUnreadBytes and for all of them
// together by Config.MaxUnreadBytes.

// maxConnUnreadBytes is how much is kept for one peer that reads slowly: 32 answers of 16 KiB and their headers. A
// connection on which more is written is closed.
const maxConnUnreadBytes = 640 << 10

// errPeerNotReading closes a connection whose peer leaves too many bytes unread, by itself or together with all others.
var errPeerNotReading = errors.New("peer does not read")

// setUnsent sets the bytes that the kernel has yet to take, and keeps the loop's total. It sets takenAt if they have just
// begun or if the kernel took some, and leaves it if only more were added.
func (c *Conn) setUnsent(unsent []byte) {
	if len(c.unsent) == 0 || len(unsent) < len(c.unsent) {
		c.lastSendProgress = c.loop.now
	}
	c.loop.totalUnread += len(unsent) - len(c.unsent)
	c.unsent = unsent
}

// limitUnread closes the connections whose peers have taken nothing for longest until the total is within the limit. One
// whose unread bytes have begun in this turn is among the last of them: its peer may be reading. More bytes on top of
// unread ones don't move a connection back in this order: see setUnsent.
func (l *Loop) limitUnread() {
	for l.totalUnread > l.cfg.MaxUnreadBytes {
		stalled := l.longestStalled()
		if stalled == nil {
			return
		}
		stalled.failWrite(errPeerNotReading)
	}
}

// longestStalled returns the connection with unread bytes whose peer has taken nothing for longest; nil if there is none.
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

// UnreadBytes returns how many bytes the peers of accepted connections have yet to take, pending writes included.
func (l *Loop) UnreadBytes() int {
	sum := 0
	for c := range l.accepted {
		sum += len(c.unsent)
		for _, b := range c.pending {
			sum += len(b)
		}
	}
	return sum
}
