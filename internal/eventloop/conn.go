package eventloop

import (
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection, accepted or dialed. Its methods must be called on the loop's goroutine. They may be called at
// any time, also by the Conn's own handler and after the connection has closed.
type Conn struct {
	loop       *Loop
	socket     socket
	remoteAddr netip.AddrPort
	isAccepted bool // or else it was dialed

	handler         Handler
	acceptedHandler AcceptedHandler // the handler of an accepted connection; nil for a dialed one
	dial            *dial           // nil once the dial has ended, and for an accepted connection

	state connState // changed by connState.apply alone

	// writeError is why the connection can't be written to any more; nil while it can. It is no connState: the direction
	// to the peer may break in any of its states, and what the peer sent before is still read in the next turn if the
	// state wants input. The connection closes after that.
	writeError error

	pending          [][]byte      // written in this turn
	unsent           []byte        // written in earlier turns; the kernel has yet to take it
	lastSendProgress time.Duration // when the kernel last took some of unsent, or unsent began
	activity         messageActivity
}

// RemoteAddr returns the peer's address, or the zero AddrPort if it is not known.
func (c *Conn) RemoteAddr() netip.AddrPort { return c.remoteAddr }

// updateInterest registers the socket for the events that the connection waits for.
func (c *Conn) updateInterest() {
	var events uint32
	if c.state.wantsInput() {
		events |= unix.EPOLLIN | unix.EPOLLRDHUP
	}
	if len(c.unsent) > 0 {
		events |= unix.EPOLLOUT
	}
	if c.state.isClosed() || events == c.socket.interest {
		return
	}
	if err := c.socket.setInterest(c.loop.poll, events); err != nil {
		c.failWrite(err)
	}
}

func (c *Conn) isClientConnection() bool { return c.isAccepted }

// onEvents handles what the poller reports. A connection that broke is read all the same: what the peer sent before is in
// the socket, and the read returns the error that broke it.
func (c *Conn) onEvents(events uint32) {
	const hangupOrError = unix.EPOLLERR | unix.EPOLLHUP
	if c.state.isDialing() {
		c.finishConnect()
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.writeUnsent()
	}
	switch {
	case c.state.isClosed() || c.writeError != nil:
	case !c.state.wantsInput():
		if events&hangupOrError != 0 {
			c.closeAndNotify(c.pendingError())
		}
	case events&(unix.EPOLLRDHUP|hangupOrError) != 0:
		// The connection is read to the end of its input in this turn, as far as maxReadsAtEnd reads go. Otherwise what the
		// peer sent before the end could be handled in an earlier turn than the end, and a request whose client has gone
		// could be forwarded to a worker.
		c.readUpTo(maxReadsAtEnd, true)
	case events&unix.EPOLLIN != 0:
		c.readUpTo(maxReadsPerTurn, false)
	}
}

// pendingError returns the error with which the connection broke.
func (c *Conn) pendingError() error {
	if err := c.loop.calls.connectResult(c.socket.fd); err != nil {
		return err
	}
	return io.EOF
}

// closeAndNotify closes a connection that the peer or the network has ended, and calls the handler's OnClose at once. It must not be
// called while a handler runs.
func (c *Conn) closeAndNotify(err error) {
	c.tearDown(causeOfError(err, ReadFailed), err)
	c.handler.OnClose(err)
}

// closeAndNotifyLater closes a connection while a handler may be running, or at the end of a turn: OnClose is called in the next
// turn, if the connection was connected.
func (c *Conn) closeAndNotifyLater(cause CloseCause, err error) {
	wasConnected := c.state.isConnected()
	c.tearDown(cause, err)
	if wasConnected {
		c.loop.deferCall(func() { c.handler.OnClose(err) })
	}
}

// tearDown counts the end of an accepted connection and closes the socket. The caller calls the handler.
func (c *Conn) tearDown(cause CloseCause, err error) {
	if c.isAccepted {
		c.loop.recordClose(c, cause, err)
	}
	c.state.apply(eventClosed)
	c.release()
}

// release closes the socket, drops what is not written and takes the connection out of the loop.
func (c *Conn) release() {
	c.dial = nil
	c.dropPending()
	c.setUnsent(nil)
	c.socket.close(c.loop.poll)
	delete(c.loop.accepted, c)
	delete(c.loop.dialing, c)
	delete(c.loop.dialed, c)
}

// CloseAfterFlush closes the connection when the kernel has taken everything that was written. Nothing more is read, and
// later writes are dropped. An accepted connection whose peer does not read is closed 2 s after its last complete message or
// answer (closeTimeout). The handler's OnClose is called in a later turn if the connection was ever open.
//
// A connection that is still dialing is closed at the end of the turn, and the handler gets no further call. If the dial ends
// in the same turn, OnOpen is called all the same, and after a success OnClose. Of a dial that has failed before, OnOpen still
// reports the error; Close prevents that.
func (c *Conn) CloseAfterFlush() {
	if c.state.apply(eventCloseAfterFlush) {
		c.loop.unflushed = append(c.loop.unflushed, c)
	}
}

// Close closes the connection and drops its pending writes. Its handler's OnClose is called in a later turn if
// the connection was ever open; else the handler gets no further call. A second Close does nothing.
func (c *Conn) Close() {
	if c.state == stateDialFailed {
		c.state.apply(eventClosed) // the failure is not reported any more
		return
	}
	c.closeWithCause(ClosedByHandler)
}

// closeWithCause closes the connection with the cause that is counted.
func (c *Conn) closeWithCause(cause CloseCause) {
	if !c.state.isClosed() {
		c.closeAndNotifyLater(cause, nil)
	}
}

// hasOutstandingAnswers reports whether an accepted connection has a request without an answer, or an answer that has
// yet to be sent: a close drops what is queued, and with it the only answer to a request.
func (c *Conn) hasOutstandingAnswers() bool {
	return c.hasOpenRequests() || c.hasUnwrittenBytes()
}

// hasOpenRequests reports whether requests of an accepted connection have no answer yet.
func (c *Conn) hasOpenRequests() bool {
	return c.acceptedHandler.HasOpenRequests()
}
