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

	// maxReadsAtEnd is how often a connection is read that can't be written to any more. The rest is dropped.
	maxReadsAtEnd = 64
)

// readAvailable reads what has come. What it leaves, the poller reports again.
func (c *Conn) readAvailable() { c.readUpTo(maxReadsPerTurn) }

func (c *Conn) readUpTo(reads int) {
	for range reads {
		if !c.readOnce() {
			return
		}
	}
}

// readOnce reads one buffer and handles it. It reports whether there may be more.
func (c *Conn) readOnce() (more bool) {
	buffer := c.loop.readBuffer
	n, err := c.loop.calls.read(c.fd, buffer)
	switch {
	case errors.Is(err, unix.EINTR):
		return true
	case err != nil && isTransient(err):
		return false
	case err != nil:
		c.end(err)
		return false
	case n == 0:
		c.handleEndOfInput()
		return false
	}
	c.handleData(buffer[:n])
	return n == len(buffer) && !c.closed && !c.closing
}

func (c *Conn) handleData(data []byte) {
	c.handler.OnData(data)
	if h, ok := c.handler.(AcceptedHandler); ok {
		complete, partial := h.MessageProgress()
		c.activity.recordProgress(complete, partial, c.loop.now)
	}
}

// handleEndOfInput handles the peer's last byte. A client may still read: it is written what it is owed.
func (c *Conn) handleEndOfInput() {
	h, ok := c.handler.(AcceptedHandler)
	if !ok || c.writeError != nil {
		c.end(io.EOF)
		return
	}
	c.inputEnded = true
	h.OnEndOfInput()
	if c.closed {
		return
	}
	if !c.owesAnswer() {
		c.end(io.EOF)
		return
	}
	c.updateInterest()
}

// hasInput reports whether bytes have come that are not read.
func (c *Conn) hasInput() bool {
	n, err := c.loop.calls.peek(c.fd, c.loop.readBuffer[:1])
	return err == nil && n > 0
}
