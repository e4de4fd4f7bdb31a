package eventloop

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"
)

const (
	// maxWriteVectors is how many buffers one gathered write takes at most. The kernel takes up to 1,024 (IOV_MAX).
	maxWriteVectors = 512

	// maxPendingBuffers is how many buffers a connection queues within a turn before it writes them. A buffer may take
	// far more memory than its bytes, and a client that sends many short requests gets as many answers in one turn.
	maxPendingBuffers = 128

	// maxPendingBytes is how many bytes a dialed connection queues within a turn before it writes them, so that Unsent
	// soon tells whether the kernel takes more.
	maxPendingBytes = 8 << 10
)

// Write queues buffers until the end of the turn, or until there are maxPendingBuffers or, on a dialed connection,
// maxPendingBytes; the caller must not change them before that. The buffers are dropped if the connection is closed or not
// connected yet, if an earlier write has failed, and after CloseAfterFlush. Write must not be called before OnOpen (see
// Loop.Dial). A peer that leaves too many bytes unread is disconnected: the handler's OnClose gets the error in a later
// turn.
func (c *Conn) Write(bufs ...[]byte) {
	if !c.state.acceptsWrites() || c.writeError != nil {
		return
	}
	if len(c.pending) == 0 {
		c.loop.unflushed = append(c.loop.unflushed, c)
	}
	c.activity.recordAnswer(c.loop.now)
	c.pending = append(c.pending, bufs...)
	for _, b := range bufs {
		c.pendingBytes += len(b)
	}
	isFull := len(c.pending) >= maxPendingBuffers || !c.isAccepted && c.pendingBytes >= maxPendingBytes
	if isFull && c.state.isConnected() {
		c.writePending()
		c.dropPending()
	}
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

// flush writes the pending buffers, and closes a connection that was only waiting for that.
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

// dropPending removes the pending buffers, and keeps their slice for the next turn.
func (c *Conn) dropPending() {
	clear(c.pending)
	c.pending = c.pending[:0]
	c.pendingBytes = 0
}

// closeIfFlushed closes the connection if it was only waiting for the kernel to take its last bytes.
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

// writePending writes the pending buffers, and copies the bytes that the kernel does not take to unsent.
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

// writeBuffers writes bufs in as few system calls as possible. It returns the rest that the kernel did not take because
// the socket's send buffer is full or the kernel lacks memory. It changes the slice, but not the bytes.
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

// writeUnsent writes the bytes that earlier turns could not write. It is called when the poller reports EPOLLOUT: the
// send buffer has space again.
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

// failWrite marks a connection as unwritable because of err, and schedules its close. The peer may have sent data
// before the connection broke, such as the answers of a worker: closeAfterWriteError reads that data first, in the next
// turn.
func (c *Conn) failWrite(err error) {
	if c.state.isClosed() || c.writeError != nil {
		return
	}
	c.writeError = err
	c.setUnsent(nil)
	if c.isAccepted {
		c.loop.failedClients = append(c.loop.failedClients, c)
	} else {
		c.loop.deferCall(c.closeAfterWriteError)
	}
}

// closeFailedClients closes the accepted connections to which a write has failed, for inputBudget in one turn: their
// handlers end the open requests, which may be many.
func (l *Loop) closeFailedClients() {
	began := l.clock.now()
	for now := began; len(l.failedClients) > 0 && now-began < inputBudget; now = l.afterInput() {
		c := l.failedClients[0]
		l.failedClients = l.failedClients[1:]
		c.closeAfterWriteError()
	}
}

// closeAfterWriteError closes a connection whose peer of a failed write may have sent data. It reads what a worker has
// sent, and a part of what a client has sent, because no request of this client can be answered. A read that fails closes
// the connection with the error of the read.
func (c *Conn) closeAfterWriteError() {
	if c.state.isClosed() {
		return
	}
	switch {
	case !c.state.wantsInput():
	case c.isAccepted:
		c.readArrived()
	default:
		c.readToEnd()
	}
	if !c.state.isClosed() {
		c.tearDown(causeOfError(c.writeError, WriteFailed), c.writeError)
		c.handler.OnClose(c.writeError)
	}
}
