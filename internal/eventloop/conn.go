package eventloop

import (
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection, accepted or dialed. Its methods must be called on the loop's goroutine. They may be called
// at any time, including by the Conn's own handler and after the connection has closed.
type Conn struct {
	loop       *Loop
	socket     socket
	remoteAddr netip.AddrPort
	isAccepted bool // false: it was dialed

	handler         Handler
	acceptedHandler AcceptedHandler // the handler of an accepted connection; nil for a dialed one
	dial            *dial           // nil once the dial has ended, and for an accepted connection

	state connState // changed only by connState.apply

	// writeError is the error that made the connection unwritable, or nil while the connection can be written to. It is
	// not part of connState because writing can fail in several states. If the state wants input, the data that the
	// peer sent before the failure is still read in the next turn, before the connection closes.
	writeError error

	progress  inputProgress
	inputTag  time.Duration // see inputSchedule
	partsLeft int           // number of parts of the input that this turn may still read

	pending          [][]byte      // buffers queued by Write in this turn
	pendingBytes     int           // their total size
	unsent           []byte        // bytes of earlier turns that the kernel has not taken yet
	lastSendProgress time.Duration // when the kernel last took some of unsent, or unsent got its first bytes
	activity         messageActivity
}

// RemoteAddr returns the peer's address, or the zero AddrPort if it is not known.
func (c *Conn) RemoteAddr() netip.AddrPort { return c.remoteAddr }

// wantedEvents returns the events that the connection waits for: input, and space for its unsent bytes.
func (c *Conn) wantedEvents() uint32 {
	var events uint32
	if c.state.wantsInput() {
		events |= unix.EPOLLIN | unix.EPOLLRDHUP
	}
	if len(c.unsent) > 0 {
		events |= unix.EPOLLOUT
	}
	return events
}

// updateInterest makes the poller report the events that the connection waits for. It has no effect while admit has not
// registered the connection.
func (c *Conn) updateInterest() {
	events := c.wantedEvents()
	if c.state.isClosed() || !c.socket.isRegistered() || events == c.socket.interest {
		return
	}
	if err := c.socket.setInterest(c.loop.poll, events); err != nil {
		c.failWrite(err)
	}
}

func (c *Conn) isClientConnection() bool { return c.isAccepted }

// hangupOrError are the events that the poller reports for a broken connection.
const hangupOrError = unix.EPOLLERR | unix.EPOLLHUP

// onEvents handles the events that the poller reports, except that it only schedules reads. A broken connection is still
// read: the reads return the data that the peer sent before the connection broke, and then the error that broke it.
func (c *Conn) onEvents(events uint32) {
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
	case events&(unix.EPOLLIN|unix.EPOLLRDHUP|hangupOrError) != 0:
		c.scheduleRead(events)
	}
}

// pendingError returns the error that broke the connection, or io.EOF if the socket reports none.
func (c *Conn) pendingError() error {
	if err := c.loop.calls.connectResult(c.socket.fd); err != nil {
		return err
	}
	return io.EOF
}

// closeAndNotify closes a connection that the peer or the network has ended, and calls the handler's OnClose before it
// returns. It must not be called while a handler runs.
func (c *Conn) closeAndNotify(err error) {
	c.tearDown(causeOfError(err, ReadFailed), err)
	c.handler.OnClose(err)
}

// closeAndNotifyLater closes a connection. It may be called while a handler runs and at the end of a turn: OnClose is
// called in the next turn, if the connection was connected.
func (c *Conn) closeAndNotifyLater(cause CloseCause, err error) {
	wasConnected := c.state.isConnected()
	c.tearDown(cause, err)
	if wasConnected {
		c.loop.deferCall(func() { c.handler.OnClose(err) })
	}
}

// tearDown closes the connection, and counts the close if the connection is an accepted one. The caller is responsible
// for the call of OnClose.
func (c *Conn) tearDown(cause CloseCause, err error) {
	if c.isAccepted {
		c.loop.recordClose(c, cause, err)
	}
	c.state.apply(eventClosed)
	c.release()
}

// release closes the socket, drops the bytes that are not written, and removes the connection from the loop. It resets a
// dialed connection whose peer has not taken all bytes: the kernel would go on sending them.
func (c *Conn) release() {
	if !c.isAccepted && c.sendQueue() > 0 {
		resetOnClose(c.socket.fd)
	}
	c.dial = nil
	c.dropPending()
	c.setUnsent(nil)
	c.socket.close(c.loop.poll)
	delete(c.loop.accepted, c)
	delete(c.loop.dialing, c)
	delete(c.loop.dialed, c)
}

// CloseAfterFlush closes the connection when the kernel has taken everything that was written. Nothing more is read,
// and later writes are dropped. If the peer of an accepted connection does not read, the connection is closed 2 s after
// its last complete message or answer (closeTimeout). The handler's OnClose is called in a later turn if the connection
// was ever open.
//
// A connection that is still dialing is closed at the end of the turn, and the handler gets no further call. If the
// dial ends in the same turn, OnOpen is still called, followed by OnClose if the dial has succeeded. If the dial has
// failed before CloseAfterFlush is called, OnOpen still reports the error; Close prevents that.
func (c *Conn) CloseAfterFlush() {
	if c.state.apply(eventCloseAfterFlush) {
		c.loop.unflushed = append(c.loop.unflushed, c)
	}
}

// Close closes the connection and drops its pending writes. The handler's OnClose is called in a later turn if the
// connection was ever open; otherwise the handler gets no further call. A second Close does nothing.
func (c *Conn) Close() {
	if c.state == stateDialFailed {
		c.state.apply(eventClosed) // OnOpen does not report the failure
		return
	}
	c.closeWithCause(ClosedByHandler)
}

// closeWithCause closes the connection if it is not closed yet. The close of an accepted connection is counted under
// cause.
func (c *Conn) closeWithCause(cause CloseCause) {
	if !c.state.isClosed() {
		c.closeAndNotifyLater(cause, nil)
	}
}

// hasOutstandingAnswers reports whether an accepted connection has an unanswered request or an answer that is not
// completely sent. Closing the connection would drop the queued bytes, which may be the only answer to a request.
func (c *Conn) hasOutstandingAnswers() bool {
	return c.hasOpenRequests() || c.hasUnwrittenBytes()
}

// hasOpenRequests reports whether an accepted connection has unanswered requests.
func (c *Conn) hasOpenRequests() bool {
	return c.acceptedHandler.HasOpenRequests()
}
