package eventloop

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"
)

const (
	// maxWriteVectors is the most buffers in one gathered write. The kernel takes 1,024 (IOV_MAX).
	maxWriteVectors = 512

	// maxConnUnreadBytes is how much is kept for one peer that reads slowly: 32 answers of 16 KiB and their heads. A
	// connection on which more is written is closed.
	maxConnUnreadBytes = 640 << 10
)

// errPeerNotReading closes a connection whose peer leaves too many bytes unread, by itself or with all others.
var errPeerNotReading = errors.New("peer does not read")

// Write queues buffers until the end of the turn; the caller must not change them before. On a closed
// connection they are dropped.
func (c *Conn) Write(bufs ...[]byte) {
	if !c.state.acceptsWrites() || c.writeError != nil {
		return
	}
	if len(c.pending) == 0 {
		c.loop.unflushed = append(c.loop.unflushed, c)
	}
	c.activity.recordAnswer(c.loop.now)
	c.pending = append(c.pending, bufs...)
}

// flush writes what the turn has queued on all connections.
func (l *Loop) flush() {
	for _, c := range l.unflushed {
		if !c.state.isClosed() {
			c.flush()
		}
	}
	clear(l.unflushed)
	l.unflushed = l.unflushed[:0]
}

// flush writes what is pending, and closes a connection whose last bytes have left.
func (c *Conn) flush() {
	if c.state.isConnected() && c.writeError == nil {
		c.writePending()
	}
	c.dropPending()
	if c.writeError == nil {
		c.updateInterest()
		c.closeIfDone()
	}
}

// dropPending forgets what is pending, and keeps its array for the next turn.
func (c *Conn) dropPending() {
	clear(c.pending)
	c.pending = c.pending[:0]
}

// closeIfDone closes the connection if it only waited for its last bytes to leave.
func (c *Conn) closeIfDone() {
	switch {
	case c.state.isClosed() || c.hasUnwritten():
	case c.state.closesAfterFlush():
		c.closeFor(ClosedByHandler)
	case c.state == stateHalfClosed && !c.hasOpenRequests():
		c.endLater(ClosedByPeer, io.EOF)
	}
}

// hasUnwritten reports whether bytes wait to be taken by the kernel.
func (c *Conn) hasUnwritten() bool { return len(c.pending) > 0 || len(c.unsent) > 0 }

// writePending writes what is pending, and keeps what the kernel does not take.
func (c *Conn) writePending() {
	rest := c.pending
	if len(c.unsent) == 0 {
		var err error
		if rest, err = c.writeBuffers(rest); err != nil {
			c.failWrite(err)
			return
		}
	}
	if len(rest) == 0 {
		return
	}
	unsent := c.unsent
	for _, b := range rest {
		unsent = append(unsent, b...)
	}
	c.setUnsent(unsent)
	if len(unsent) > maxConnUnreadBytes {
		c.failWrite(errPeerNotReading)
	}
	c.loop.limitUnread()
}

// limitUnread closes the connections whose peers have taken nothing for longest until all together keep to the limit. The
// one that is being written to is the last of them: its peer may be reading.
func (l *Loop) limitUnread() {
	for l.totalUnread > l.cfg.MaxUnreadBytes {
		var stalled *Conn
		for _, connections := range []map[*Conn]struct{}{l.accepted, l.dialed} {
			for c := range connections {
				if len(c.unsent) > 0 && (stalled == nil || c.takenAt < stalled.takenAt) {
					stalled = c
				}
			}
		}
		if stalled == nil {
			return
		}
		stalled.failWrite(errPeerNotReading)
	}
}

// writeBuffers writes bufs in as few system calls as possible, and returns those that the kernel did not take. It changes
// the slice, not the bytes.
func (c *Conn) writeBuffers(bufs [][]byte) (rest [][]byte, err error) {
	for len(bufs) > 0 {
		n, err := c.loop.calls.write(c.socket.fd, bufs[:min(len(bufs), maxWriteVectors)])
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil && !isTransient(err) {
			return nil, err
		}
		if n <= 0 {
			return bufs, nil
		}
		bufs = skipBytes(bufs, n)
	}
	return nil, nil
}

// skipBytes returns bufs without their first n bytes.
func skipBytes(bufs [][]byte, n int) [][]byte {
	for len(bufs) > 0 && n >= len(bufs[0]) {
		n -= len(bufs[0])
		bufs = bufs[1:]
	}
	if n > 0 {
		bufs[0] = bufs[0][n:]
	}
	return bufs
}

// writeUnsent writes what earlier turns have left.
func (c *Conn) writeUnsent() {
	if c.state.isClosed() || c.writeError != nil || len(c.unsent) == 0 {
		return
	}
	rest, err := c.writeBuffers([][]byte{c.unsent})
	if err != nil {
		c.failWrite(err)
		return
	}
	if len(rest) == 0 {
		c.setUnsent(nil)
	} else {
		c.setUnsent(rest[0])
	}
	c.updateInterest()
	c.closeIfDone()
}

// setUnsent sets the bytes that the kernel has yet to take.
func (c *Conn) setUnsent(unsent []byte) {
	if len(c.unsent) == 0 || len(unsent) < len(c.unsent) {
		c.takenAt = c.loop.now
	}
	c.loop.totalUnread += len(unsent) - len(c.unsent)
	c.unsent = unsent
}

// failWrite ends a connection that can't be written to. Its peer may have sent something before it went, as a worker its
// answers: that is read first, in the next turn.
func (c *Conn) failWrite(err error) {
	if c.state.isClosed() || c.writeError != nil {
		return
	}
	c.writeError = err
	c.setUnsent(nil)
	c.loop.later(c.endAfterWriteError)
}

func (c *Conn) endAfterWriteError() {
	if c.state.isClosed() {
		return
	}
	if c.state.wantsInput() {
		c.readUpTo(maxReadsAtEnd, true)
	}
	if !c.state.isClosed() {
		c.shut(causeOfError(c.writeError, WriteFailed), c.writeError)
		c.handler.OnClose(c.writeError)
	}
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
