package eventloop

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"
)

const (
	// readBufferSize is the size of the buffer that all sockets share, in bytes. No datagram is larger.
	readBufferSize = 64 << 10

	// maxReadsPerTurn is how often one dialed connection is read in one turn at most, so that a connection that always
	// has input does not keep the loop from serving the others.
	maxReadsPerTurn = 4

	// clientReadSize is how many bytes of an accepted connection are read in one turn at most, unless its peer has ended
	// it. Clients that send at full speed on all connections together thus make a turn, and the wait of all others, some
	// 100 ms long at most. A longer message takes several turns.
	clientReadSize = 16 << 10

	// maxReadsAtEnd is how often a connection is read in one turn at most if its peer has ended it or a write to it has
	// failed.
	maxReadsAtEnd = 64
)

// readSome reads a part of the data that has arrived. The poller is level-triggered and reports the rest in the next
// turn.
func (c *Conn) readSome() {
	if c.isAccepted {
		c.readClient(func() (complete bool) {
			_, full := c.readOnce(c.loop.readBuffer[:clientReadSize])
			return !full
		})
		return
	}
	for range maxReadsPerTurn {
		if more, full := c.readOnce(c.loop.readBuffer); !more || !full {
			return
		}
	}
}

// readToEnd reads the data that has arrived and the end of the input, in at most maxReadsAtEnd reads.
func (c *Conn) readToEnd() {
	c.readClient(func() (complete bool) {
		for range maxReadsAtEnd {
			if more, _ := c.readOnce(c.loop.readBuffer); !more {
				return true
			}
		}
		return false
	})
}

// readClient calls read, which reads a part of the input and reports whether nothing is left. Meanwhile Loop.InputTime
// returns the earliest time at which the input of this connection may have arrived: input that is left now may have
// arrived as early as the input that is read now.
func (c *Conn) readClient(read func() (complete bool)) {
	turnInputTime := c.loop.inputTime
	if c.inputSince > 0 {
		c.loop.inputTime = min(c.inputSince, turnInputTime)
	}
	c.inputSince = c.loop.inputTime
	if read() {
		c.inputSince = 0
	}
	c.loop.inputTime = turnInputTime
}

// readOnce reads once into buffer and handles the data. It reports whether there may be more to read, and whether the
// buffer was filled. It reports both for an interrupted read, so that the read is repeated.
func (c *Conn) readOnce(buffer []byte) (more, full bool) {
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
	if c.isAccepted {
		c.loop.clientInput += n
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
