package eventloop

import (
	"errors"
	"io"
	"time"

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

// readResult is the result of one read.
type readResult uint8

const (
	readData    readResult = iota // data was read, or a signal interrupted the read; there may be more
	readDrained                   // nothing is left
	readFailed                    // the kernel lacks memory; there may be more
	readEnded                     // the input has ended, or the connection has stopped reading
)

// drained reports whether the result shows that all input that had arrived has been read.
func (r readResult) drained() bool { return r == readDrained || r == readEnded }

// readsInput reports whether input of an open connection is read, now or in a later turn.
func (c *Conn) readsInput() bool { return c.state.wantsInput() && c.writeError == nil }

// readSome reads a part of the data that has arrived. The poller is level-triggered and reports the rest in the next
// turn.
func (c *Conn) readSome() {
	if c.isAccepted {
		c.readClientInTurn(func() (drained bool) {
			result, n := c.readOnce(c.loop.readBuffer[:clientReadSize])
			return result.drained() || 0 < n && n < clientReadSize
		})
		return
	}
	for range maxReadsPerTurn {
		if result, n := c.readOnce(c.loop.readBuffer); result != readData || 0 < n && n < readBufferSize {
			return
		}
	}
}

// readToEnd reads the data that has arrived and the end of the input, in at most maxReadsAtEnd reads.
func (c *Conn) readToEnd() {
	c.readClientInTurn(func() (drained bool) {
		for range maxReadsAtEnd {
			if result, _ := c.readOnce(c.loop.readBuffer); result != readData {
				return result.drained()
			}
		}
		return false
	})
}

// readClientInTurn calls readClient for a read of input that the poller has reported in this turn, or that came with a
// connection that was accepted in this turn.
func (c *Conn) readClientInTurn(read func() (drained bool)) {
	c.readClient(c.loop.now, c.loop.previousPoll, read)
}

// readClient calls read, which reads a part of the input and reports whether nothing is left. Meanwhile Loop.InputTime
// returns the earliest time at which the input of this connection may have arrived: input that is left now may have
// arrived as early as the input that is read now. For the other parameters see inputProgress.recordRead.
func (c *Conn) readClient(start, previousPoll time.Duration, read func() (drained bool)) {
	turnInputTime := c.loop.inputTime
	if c.progress.arrivedSince > 0 {
		c.loop.inputTime = min(c.progress.arrivedSince, turnInputTime)
	}
	c.progress.arrivedSince = c.loop.inputTime
	c.progress.recordRead(read(), start, previousPoll)
	c.loop.inputTime = turnInputTime
}

// readOnce reads once into buffer and handles the data. It returns the number of bytes, which is less than the buffer's
// size if no more data had arrived; the end of the input may have arrived nevertheless.
func (c *Conn) readOnce(buffer []byte) (result readResult, n int) {
	n, err := c.loop.calls.read(c.socket.fd, buffer)
	switch {
	case errors.Is(err, unix.EINTR):
		return readData, 0
	case errors.Is(err, unix.EAGAIN):
		return readDrained, 0
	case err != nil && isTransient(err):
		return readFailed, 0
	case err != nil:
		c.closeAndNotify(err)
		return readEnded, 0
	case n == 0:
		c.handleEndOfInput()
		return readEnded, 0
	}
	if c.isAccepted {
		c.loop.clientInput += n
		c.progress.bytes += n
	}
	c.handleData(buffer[:n])
	if !c.state.wantsInput() {
		return readEnded, n
	}
	return readData, n
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
