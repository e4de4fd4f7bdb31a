package eventloop

import (
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// noDescriptor stands for a descriptor that is not open.
const noDescriptor = -1

// Conn is a TCP connection, accepted or dialed. Its methods must be called on the loop's goroutine.
type Conn struct {
	loop       *Loop
	fd         int // noDescriptor: none is open
	token      token
	interest   uint32  // the events that the descriptor is registered for
	handler    Handler // an AcceptedHandler or a DialHandler
	isAccepted bool
	remoteAddr netip.AddrPort
	dial       *dial // while it is being dialed

	connected  bool  // the handler has been told that the connection is open
	calledOff  bool  // the handler has closed it
	closed     bool  // nothing is read or written any more
	inputEnded bool  // the peer has sent its last byte; it may still read
	closing    bool  // it closes once all is written, and is not read any more
	writeError error // it is read once more, and then closed

	pending  [][]byte      // written in this turn
	unsent   []byte        // written in earlier turns; the kernel has yet to take it
	takenAt  time.Duration // when the kernel last took some of unsent, or it began
	activity messageActivity
}

// RemoteAddr returns the peer's address, or the zero AddrPort if it is not known.
func (c *Conn) RemoteAddr() netip.AddrPort { return c.remoteAddr }

// startPolling registers the descriptor for events.
func (c *Conn) startPolling(events uint32) error {
	t, err := c.loop.poll.add(c.fd, events, c)
	if err != nil {
		return err
	}
	c.token = t
	c.interest = events
	return nil
}

// updateInterest registers the descriptor for what the connection waits for.
func (c *Conn) updateInterest() {
	var events uint32
	if !c.inputEnded && !c.closing {
		events |= unix.EPOLLIN | unix.EPOLLRDHUP
	}
	if len(c.unsent) > 0 {
		events |= unix.EPOLLOUT
	}
	if c.closed || events == c.interest {
		return
	}
	if err := c.loop.poll.modify(c.fd, c.token, events); err != nil {
		c.failWrite(err)
		return
	}
	c.interest = events
}

func (c *Conn) ofClient() bool { return c.isAccepted }

// onEvents handles what the poller reports. A connection that broke is read all the same: what came before is in the
// socket, and the read tells why it broke.
func (c *Conn) onEvents(events uint32) {
	const ended = unix.EPOLLERR | unix.EPOLLHUP
	if c.dial != nil {
		c.finishConnect()
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.writeUnsent()
	}
	switch {
	case c.closed || c.writeError != nil:
	case c.inputEnded || c.closing:
		if events&ended != 0 {
			c.end(c.pendingError())
		}
	case events&(unix.EPOLLRDHUP|ended) != 0:
		// To the end, so that what the peer sent before it is never handled in a turn of its own: a request whose client
		// has gone is not to be sent on.
		c.readUpTo(maxReadsAtEnd, true)
	case events&unix.EPOLLIN != 0:
		c.readUpTo(maxReadsPerTurn, false)
	}
}

// pendingError returns the error with which the connection broke.
func (c *Conn) pendingError() error {
	if err := c.loop.calls.connectResult(c.fd); err != nil {
		return err
	}
	return io.EOF
}

// end closes a connection that the peer or the network has ended, and tells the handler at once. It must not be called
// while a handler runs.
func (c *Conn) end(err error) {
	c.shut(causeOfError(err, ReadFailed), err)
	c.handler.OnClose(err)
}

// endLater is end for the time in which handlers run or the turn is over: the handler is told in the next turn.
func (c *Conn) endLater(cause CloseCause, err error) {
	c.shut(cause, err)
	if c.connected {
		c.loop.later(func() { c.handler.OnClose(err) })
	}
}

// shut closes the descriptor and drops what is not written.
func (c *Conn) shut(cause CloseCause, err error) {
	if c.isAccepted {
		c.loop.recordClose(c, cause, err)
	}
	c.closed = true
	c.dial = nil
	c.dropPending()
	c.setUnsent(nil)
	c.closeDescriptor()
	delete(c.loop.accepted, c)
	delete(c.loop.dialing, c)
	delete(c.loop.dialed, c)
}

func (c *Conn) closeDescriptor() {
	if c.fd == noDescriptor {
		return
	}
	c.loop.poll.remove(c.token)
	closeDescriptor(c.fd)
	c.fd = noDescriptor
}

// CloseAfterFlush closes the connection once all that was written has left, or the peer has had its time for it. No more
// is read.
func (c *Conn) CloseAfterFlush() {
	if c.closed || c.closing {
		return
	}
	c.closing = true
	c.loop.unflushed = append(c.loop.unflushed, c)
}

// Close closes the connection and drops its pending writes. Its handler's OnClose is called in a later turn, if
// the connection was ever open.
func (c *Conn) Close() {
	c.calledOff = true
	c.closeFor(ClosedByHandler)
}

// closeFor is Close with the cause that is counted.
func (c *Conn) closeFor(cause CloseCause) {
	if !c.closed {
		c.endLater(cause, nil)
	}
}
