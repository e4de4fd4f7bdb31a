package eventloop

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// dialRetryInterval is the time between two attempts to open a socket while this machine can't.
const dialRetryInterval = 10 * time.Millisecond

// ErrLocalFault is in the error of a dial that failed for want of something on this machine, as descriptors or ports. It
// says nothing of the peer.
var ErrLocalFault = errors.New("this machine can't open a connection")

// noDeadline stands for a time that never comes.
const noDeadline = time.Duration(1<<63 - 1)

// dial is the state of a connection that is not open yet.
type dial struct {
	handler   DialHandler
	addr      string // as asked for
	deadline  time.Duration
	retryAt   time.Duration // when the next socket is tried; 0: one is connecting, or the address is being resolved
	lastError error         // of the socket before
}

// Dial opens a TCP connection to addr, a "host:port", and returns at once; h.OnOpen gets the result in a later turn. What
// is written before that is dropped. Closing the Conn before that calls the dial off: h hears no more of it. A timeout of
// 0 is none.
//
// While this machine lacks what a socket needs, as descriptors, ports or buffers, the dial is tried again until timeout:
// such an error says nothing of the peer.
func (l *Loop) Dial(addr string, timeout time.Duration, h DialHandler) *Conn {
	c := &Conn{
		loop:    l,
		socket:  socket{fd: noDescriptor},
		handler: h,
		dial:    &dial{handler: h, addr: addr, deadline: noDeadline},
		state:   stateDialing,
	}
	if timeout > 0 {
		c.dial.deadline = l.now + timeout
	}
	l.dialing[c] = struct{}{}
	if literal, err := netip.ParseAddrPort(addr); err == nil {
		c.remoteAddr = literal
		c.connect()
		return c
	}
	go func() {
		resolved, err := resolveTCP(addr)
		l.Post(func() { c.handleResolved(resolved, err) })
	}()
	return c
}

func (c *Conn) handleResolved(addr netip.AddrPort, err error) {
	if !c.state.isDialing() { // closed or timed out in the meantime
		return
	}
	if err != nil {
		c.failDial(err)
		return
	}
	c.remoteAddr = addr
	c.connect()
}

// connect begins to connect a new socket.
func (c *Conn) connect() {
	c.dial.retryAt = 0
	c.dial.lastError = nil
	domain, sockaddr := socketAddress(c.remoteAddr)
	fd, err := c.loop.calls.socket(domain, unix.SOCK_STREAM)
	if err != nil {
		c.handleConnectError(err)
		return
	}
	c.socket.fd = fd
	err = c.loop.calls.connect(fd, sockaddr)
	if isOneOf(err, unix.EINPROGRESS, unix.EINTR) {
		err = nil // the poller tells how it ends
	}
	if err == nil {
		err = c.socket.register(c.loop.poll, unix.EPOLLOUT, c)
	}
	if err != nil {
		c.socket.close(c.loop.poll)
		c.handleConnectError(err)
	}
}

// finishConnect handles the end of a connect that was in progress.
func (c *Conn) finishConnect() {
	err := c.loop.calls.connectResult(c.socket.fd)
	if err == nil && c.isConnectedToItself() {
		err = unix.ECONNREFUSED
	}
	if err != nil {
		c.socket.close(c.loop.poll)
		c.handleConnectError(err)
		return
	}
	_ = unix.SetsockoptInt(c.socket.fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // calls may wait for a while without it
	handler := c.dial.handler
	c.dial = nil
	c.transition(eventConnected)
	delete(c.loop.dialing, c)
	c.loop.dialed[c] = struct{}{}
	c.updateInterest()
	handler.OnOpen(nil)
}

// isConnectedToItself reports whether the kernel has joined the socket to itself. That happens where nobody listens at a
// port of this machine that is in the range of those it gives to sockets that dial.
func (c *Conn) isConnectedToItself() bool {
	if !c.remoteAddr.Addr().IsLoopback() {
		return false
	}
	local, err := unix.Getsockname(c.socket.fd)
	return err == nil && addrPortOf(local) == c.remoteAddr
}

// handleConnectError tries again later after a fault of this machine, and ends the dial after any other.
func (c *Conn) handleConnectError(err error) {
	retryAt := c.loop.now + dialRetryInterval
	if !isLocalFault(err) {
		c.failDial(err)
		return
	}
	c.dial.lastError = err
	c.dial.retryAt = min(retryAt, c.dial.deadline)
}

// isLocalFault reports whether a dial failed for want of something on this machine.
func isLocalFault(err error) bool {
	return isOneOf(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EADDRNOTAVAIL,
		unix.EADDRINUSE, unix.EAGAIN, unix.ENETUNREACH, unix.ENETDOWN)
}

// failDial ends the dial. OnOpen reports it in the next turn, unless the handler closes the connection before that.
func (c *Conn) failDial(err error) {
	handler := c.dial.handler
	wrapped := fmt.Errorf("dial %s: %w", c.dial.addr, err)
	c.transition(eventDialFailed)
	c.release()
	c.loop.later(func() {
		if c.state == stateDialFailed {
			c.transition(eventClosed)
			handler.OnOpen(wrapped)
		}
	})
}

// timeoutError returns why the dial has not come up in time.
func (d *dial) timeoutError() error {
	if d.lastError != nil {
		return fmt.Errorf("%w: %w", ErrLocalFault, d.lastError)
	}
	return os.ErrDeadlineExceeded
}

// checkDials tries those dials again whose pause is over, and ends those whose time is.
func (l *Loop) checkDials() {
	for c := range l.dialing {
		switch {
		case l.now >= c.dial.deadline:
			c.failDial(c.dial.timeoutError())
		case c.dial.retryAt > 0 && l.now >= c.dial.retryAt:
			c.connect()
		}
	}
}

// nextCheck returns when a dial or a listener needs a turn.
func (l *Loop) nextCheck() time.Duration {
	next := noDeadline
	for c := range l.dialing {
		next = min(next, c.dial.deadline)
		if c.dial.retryAt > 0 {
			next = min(next, c.dial.retryAt)
		}
	}
	for _, ln := range l.listeners {
		if ln.paused {
			next = min(next, ln.resumeAt)
		}
	}
	return next
}
