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

	// clientPartSize is how many bytes of an accepted connection are read before another one has its turn. Of the
	// smallest messages it holds some hundred.
	clientPartSize = 4 << 10

	// clientReadSize is how many bytes of an accepted connection are read at a time outside of the schedule: when it is
	// accepted, when it has timed out, and in CatchUp.
	clientReadSize = 16 << 10

	// maxCatchUpReads is how often CatchUp reads one connection at most.
	maxCatchUpReads = 64

	// maxReadsAtEnd is how often a dialed connection is read if a write to it has failed: a worker's answers to 32 calls,
	// with bodies of 16 KiB, fit.
	maxReadsAtEnd = 16
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

// scheduleRead adds a connection for which the poller has reported input to the schedule of the turn.
func (c *Conn) scheduleRead(events uint32) {
	if events&(unix.EPOLLRDHUP|hangupOrError) != 0 {
		c.progress.endReported = true
	}
	if !c.isAccepted {
		c.loop.workerInput.add(c)
		return
	}
	c.progress.recordReported(c.loop.now, c.loop.inputTime, c.loop.previousPoll)
	c.loop.clientInput.add(c)
}

// readPart reads a part of the input of a connection that the poller has reported, and reports whether more may be left.
func (c *Conn) readPart() (left bool) {
	if !c.readsInput() {
		return false
	}
	if !c.isAccepted {
		left, _ = c.readInto(c.loop.readBuffer)
		return left
	}
	c.readClient(c.loop.clock.now(), c.loop.previousPoll, func() (drained bool) {
		left, drained = c.readInto(c.loop.readBuffer[:clientPartSize])
		return drained
	})
	return left
}

// readInto reads once into buffer, and once more if only the reported end of the input seems to be left, so that the end
// is handled together with the data before it. It reports whether it is worth while to read on, and whether nothing is
// left.
func (c *Conn) readInto(buffer []byte) (left, drained bool) {
	result, n := c.readOnce(buffer)
	if result == readData && n < len(buffer) && c.progress.endReported {
		result, n = c.readOnce(buffer)
	}
	drained = result.drained() || 0 < n && n < len(buffer) && !c.progress.endReported
	return result == readData && !drained, drained
}

// readArrived reads what has arrived on an accepted connection outside of the schedule, up to clientReadSize bytes.
func (c *Conn) readArrived() {
	c.readClient(c.loop.clock.now(), c.loop.previousPoll, func() (drained bool) {
		for size := 0; size < clientReadSize; {
			result, n := c.readOnce(c.loop.readBuffer[:clientReadSize-size])
			if result != readData {
				return result.drained()
			}
			size += max(n, 1) // an interrupted read counts too
		}
		return false
	})
}

// readToEnd reads the data that has arrived on a dialed connection and the end of the input, in at most maxReadsAtEnd
// reads.
func (c *Conn) readToEnd() {
	for range maxReadsAtEnd {
		if result, _ := c.readOnce(c.loop.readBuffer); result != readData {
			return
		}
	}
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
		c.loop.clientBytes += n
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
