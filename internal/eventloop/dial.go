package eventloop

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// dialRetryInterval is the time between two attempts to open a socket while this machine lacks resources for it.
const dialRetryInterval = 10 * time.Millisecond

// ErrLocalFault is in the error of a dial that failed because this machine lacked resources, such as descriptors or ports.
// It does not mean that the peer is at fault.
var ErrLocalFault = errors.New("this machine can't open a connection")

// dial is what a connection needs until it is connected. It may take several sockets, one after another.
type dial struct {
	handler   DialHandler
	addr      string        // the "host:port" that Dial was given
	deadline  time.Duration // when the dial times out; never: it does not
	retryAt   time.Duration // when the next socket is tried; 0: one is connecting, or the address is being resolved
	lastError error         // why the last socket failed; nil while one is connecting
}

// Dial opens a TCP connection to addr, a "host:port", and returns at once; h.OnOpen gets the result in a later turn. If the
// Conn is closed before that, h gets no call. A timeout of 0 is none.
//
// The Conn must not be written to before OnOpen. The bytes are dropped, and the flush at the end of the turn breaks the dial
// (updateInterest). A socket that is connecting is then polled for input and no longer for EPOLLOUT, so that a connect which
// succeeds is not noticed until the peer sends something or closes, and may time out. While the name is being resolved or
// the dial waits for a retry, there is no descriptor: the change of its events fails, the failure closes the Conn, and h
// gets OnClose without OnOpen.
//
// While this machine lacks a resource for the socket, such as descriptors, ports or buffers, the dial is retried until
// timeout: such an error does not mean that the peer is at fault.
func (l *Loop) Dial(addr string, timeout time.Duration, h DialHandler) *Conn {
	c := &Conn{
		loop:    l,
		socket:  socket{fd: noDescriptor},
		handler: h,
		dial:    &dial{handler: h, addr: addr, deadline: never},
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

// handleResolved begins to connect to the address that a host name was resolved to, or ends the dial with err.
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

// connect begins to connect a new socket. A non-blocking connect goes on after EINPROGRESS, and also after EINTR: to begin
// it again would fail. The poller reports EPOLLOUT when it has ended, in success or failure.
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
		err = nil
	}
	if err == nil {
		err = c.socket.register(c.loop.poll, unix.EPOLLOUT, c)
	}
	if err != nil {
		c.socket.close(c.loop.poll)
		c.handleConnectError(err)
	}
}

// finishConnect handles the end of a connect that was in progress: it calls OnOpen, or ends or retries the dial.
func (c *Conn) finishConnect() {
	err := c.loop.calls.connectResult(c.socket.fd)
	if err == nil && c.isSelfConnected() {
		err = unix.ECONNREFUSED
	}
	if err != nil {
		c.socket.close(c.loop.poll)
		c.handleConnectError(err)
		return
	}
	disableNagle(c.socket.fd)
	handler := c.dial.handler
	c.dial = nil
	c.state.apply(eventConnected)
	delete(c.loop.dialing, c)
	c.loop.dialed[c] = struct{}{}
	c.updateInterest()
	handler.OnOpen(nil)
}

// isSelfConnected reports whether the kernel has connected the socket to itself. Linux does so if the dialed port of
// this machine has no listener and the kernel picks the same port as the socket's own, out of its ephemeral ports (TCP
// simultaneous open).
func (c *Conn) isSelfConnected() bool {
	if !c.remoteAddr.Addr().IsLoopback() {
		return false
	}
	local, err := unix.Getsockname(c.socket.fd)
	return err == nil && addrPortOf(local) == c.remoteAddr
}

// handleConnectError schedules a retry after a fault of this machine, and ends the dial after any other error.
func (c *Conn) handleConnectError(err error) {
	retryAt := c.loop.now + dialRetryInterval
	if !isLocalFault(err) {
		c.failDial(err)
		return
	}
	c.dial.lastError = err
	c.dial.retryAt = min(retryAt, c.dial.deadline)
}

// isLocalFault reports whether a dial failed because of this machine: no descriptors (EMFILE, ENFILE), memory (ENOBUFS,
// ENOMEM, ENOSPC) or local ports (EADDRNOTAVAIL, EADDRINUSE, EAGAIN), or no network (ENETUNREACH, ENETDOWN).
func isLocalFault(err error) bool {
	return isOneOf(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EADDRNOTAVAIL,
		unix.EADDRINUSE, unix.EAGAIN, unix.ENETUNREACH, unix.ENETDOWN)
}

// failDial ends the dial. OnOpen reports it in the next turn, unless the handler closes the connection before that.
func (c *Conn) failDial(err error) {
	handler := c.dial.handler
	wrapped := fmt.Errorf("dial %s: %w", c.dial.addr, err)
	c.state.apply(eventDialFailed)
	c.release()
	c.loop.deferCall(func() {
		if c.state == stateDialFailed {
			c.state.apply(eventClosed)
			handler.OnOpen(wrapped)
		}
	})
}

// timeoutError returns why the dial has not succeeded in time.
func (d *dial) timeoutError() error {
	if d.lastError != nil {
		return fmt.Errorf("%w: %w", ErrLocalFault, d.lastError)
	}
	return os.ErrDeadlineExceeded
}

// checkDials ends the dials that have timed out, and retries those whose retry is due.
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
