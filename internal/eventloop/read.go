package eventloop

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"
)

const (
	// readBufferSize is the size of the buffer that all sockets share, in bytes. No datagram is larger.
	readBufferSize = 64 << 10

	// maxReadsPerTurn is how often one connection is read in one turn: one that always has input must not keep the
	// loop from the others.
	maxReadsPerTurn = 4

	// maxReadsAtEnd is how often a connection is read in one turn if its peer has ended it or it can't be written to any
	// more.
	maxReadsAtEnd = 64
)

// readUpTo reads what has arrived, with so many reads at most. A read that does not fill the buffer is the last one, unless
// the connection is read toEnd. The poller is level-triggered: it reports what is left in the next turn.
func (c *Conn) readUpTo(maxReads int, toEnd bool) {
	for range maxReads {
		more, full := c.readOnce()
		if !more || !full && !toEnd {
			return
		}
	}
}

// readOnce reads one buffer and handles it. It reports whether there may be more to read, and whether the buffer was
// filled. An interrupted read counts as both, so that it is repeated.
func (c *Conn) readOnce() (more, full bool) {
	buffer := c.loop.readBuffer
	n, err := c.loop.calls.read(c.socket.fd, buffer)
	switch {
	case errors.Is(err, unix.EINTR):
		return true, true
	case err != nil && isTransient(err):
		return false, false
	case err != nil:
		c.closeAndNotify(err)
		return false, false
	case n == 0:
		c.handleEndOfInput()
		return false, false
	}
	c.handleData(buffer[:n])
	return c.state.wantsInput(), n == len(buffer)
}

// handleData gives data to the handler, and records the messages of an accepted connection.
func (c *Conn) handleData(data []byte) {
	c.handler.OnData(data)
	if c.acceptedHandler != nil {
		complete, partial := c.acceptedHandler.MessageProgress()
		c.activity.recordProgress(complete, partial, c.loop.now)
	}
}

// handleEndOfInput handles the end of the peer's input (a FIN). A dialed connection ends with it. A client may have closed
// one direction only, and still read: its connection ends when all answers are written.
func (c *Conn) handleEndOfInput() {
	if !c.isAccepted || c.writeError != nil {
		c.closeAndNotify(io.EOF)
		return
	}
	c.state.apply(eventEndOfInput)
	c.acceptedHandler.OnEndOfInput()
	if c.state.isClosed() {
		return
	}
	if !c.hasOutstandingAnswers() {
		c.closeAndNotify(io.EOF)
		return
	}
	c.updateInterest()
}

// hasInput reports whether bytes have arrived that are not read yet.
func (c *Conn) hasInput() bool {
	n, err := c.loop.calls.peek(c.socket.fd, c.loop.readBuffer[:1])
	return err == nil && n > 0
}
