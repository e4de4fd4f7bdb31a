package eventloop

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"
)

const (
	// readBufferSize is the size of the buffer that all sockets share, in bytes. No datagram is larger.
	readBufferSize = 64 << 10

	// maxReadsPerTurn is how often one connection is read in one turn at most, so that a connection that always has
	// input does not keep the loop from serving the others.
	maxReadsPerTurn = 4

	// maxReadsAtEnd is how often a connection is read in one turn at most if its peer has ended it or a write to it has
	// failed.
	maxReadsAtEnd = 64
)

// readUpTo reads the data that has arrived, in at most maxReads reads. Unless toEnd is set, it stops after a read that
// does not fill the buffer. The poller is level-triggered and reports the remaining data in the next turn.
func (c *Conn) readUpTo(maxReads int, toEnd bool) {
	for range maxReads {
		more, full := c.readOnce()
		if !more || !full && !toEnd {
			return
		}
	}
}

// readOnce reads once into the shared buffer and handles the data. It reports whether there may be more to read, and
// whether the buffer was filled. It reports both for an interrupted read, so that the read is repeated.
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

// handleData passes data to the handler, and records the message progress of an accepted connection.
func (c *Conn) handleData(data []byte) {
	c.handler.OnData(data)
	if c.acceptedHandler != nil {
		complete, partial := c.acceptedHandler.MessageProgress()
		c.activity.recordProgress(complete, partial, c.loop.now)
	}
}

// handleEndOfInput handles the end of the peer's input (a FIN). A dialed connection closes at once, and so does an
// accepted one that can't be written to. A client may have closed only its sending direction and may still read, so its
// connection closes when all answers are written.
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
