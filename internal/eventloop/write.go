package eventloop

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"
)

// maxWriteVectors is the most buffers in one gathered write. The kernel takes 1,024 (IOV_MAX).
const maxWriteVectors = 512

// Write queues buffers until the end of the turn; the caller must not change them before that. They are dropped if the
// connection is closed, can't be written to any more, or is not connected yet, and after CloseAfterFlush. It must not be
// called before OnOpen: see Loop.Dial. A peer that leaves too many bytes unread is disconnected: the handler's OnClose gets
// the error in a later turn.
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

// flush writes what is pending, and closes a connection that only waited for that.
func (c *Conn) flush() {
	if c.state.isConnected() && c.writeError == nil {
		c.writePending()
	}
	c.dropPending()
	if c.writeError == nil {
		c.updateInterest()
		c.closeIfFlushed()
	}
}

// dropPending removes what is pending, and keeps the array for the next turn.
func (c *Conn) dropPending() {
	clear(c.pending)
	c.pending = c.pending[:0]
}

// closeIfFlushed closes the connection if it only waited for the kernel to take its last bytes.
func (c *Conn) closeIfFlushed() {
	switch {
	case c.state.isClosed() || c.hasUnwrittenBytes():
	case c.state.closesAfterFlush():
		c.closeWithCause(ClosedByHandler)
	case c.state == stateHalfClosed && !c.hasOpenRequests():
		c.closeAndNotifyLater(ClosedByPeer, io.EOF)
	}
}

// hasUnwrittenBytes reports whether there are bytes that the kernel has not taken.
func (c *Conn) hasUnwrittenBytes() bool { return len(c.pending) > 0 || len(c.unsent) > 0 }

// writePending writes what is pending, and copies what the kernel does not take to unsent.
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

// writeBuffers writes bufs in as few system calls as possible, and returns those that the kernel did not take because the
// socket's send buffer is full. It changes the slice, not the bytes.
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

// writeUnsent writes what earlier turns could not. The poller calls for it by EPOLLOUT: the send buffer has space again.
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
	c.closeIfFlushed()
}

// failWrite ends a connection that can't be written to. The peer may have sent something before the connection broke, such
// as a worker its answers: endAfterWriteError reads that first, in the next turn.
func (c *Conn) failWrite(err error) {
	if c.state.isClosed() || c.writeError != nil {
		return
	}
	c.writeError = err
	c.setUnsent(nil)
	c.loop.deferCall(c.closeAfterWriteError)
}

// closeAfterWriteError reads what the peer of a failed write has sent, and closes the connection. The read itself may end it
// with an error of its own.
func (c *Conn) closeAfterWriteError() {
	if c.state.isClosed() {
		return
	}
	if c.state.wantsInput() {
		c.readUpTo(maxReadsAtEnd, true)
	}
	if !c.state.isClosed() {
		c.tearDown(causeOfError(c.writeError, WriteFailed), c.writeError)
		c.handler.OnClose(c.writeError)
	}
}
