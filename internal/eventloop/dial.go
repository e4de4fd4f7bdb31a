package eventloop

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// dialRetryInterval is the time between two attempts to open a socket while this machine lacks the resources for it.
const dialRetryInterval = 10 * time.Millisecond

// ErrLocalFault is wrapped by the error of a dial that failed because this machine lacked resources, such as
// descriptors or ports. Such an error does not mean that the peer is at fault.
var ErrLocalFault = errors.New("this machine can't open a connection")

// dial holds what a connection needs until it is connected. A dial may use several sockets, one after another.
type dial struct {
	handler   DialHandler
	addr      string        // the "host:port" that Dial was given
	deadline  time.Duration // when the dial times out; never if it has no timeout
	retryAt   time.Duration // when the next socket is opened; 0 while connecting or resolving the address
	lastError error         // why the last socket failed; nil while one is connecting
}

// Dial opens a TCP connection to addr, a "host:port", and returns at once; h.OnOpen gets the result in a later turn. If
// the Conn is closed before that, h gets no call. A timeout of 0 means that the dial does not time out.
//
// The Conn must not be written to before OnOpen. The bytes would be dropped, and the flush at the end of the turn would
// break the dial by calling updateInterest. A socket that is connecting would then be polled for input instead of
// EPOLLOUT: a successful connect would be noticed only when the peer sends something or closes, and the dial might time
// out. While the name is being resolved or the dial waits for a retry, there is no descriptor: updateInterest would
// fail, the failure would close the Conn, and h would get OnClose without OnOpen.
//
// While this machine lacks a resource for the socket, such as descriptors, ports or buffers, the dial is retried until
// timeout, because such an error does not mean that the peer is at fault.
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

// handleResolved begins to connect to addr, the address of the dialed host name. If err is not nil, the name could not
// be resolved, and the dial fails.
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

// connect begins to connect a new socket. A non-blocking connect continues in the kernel after EINPROGRESS and also
// after EINTR; calling connect(2) again would fail. The poller reports EPOLLOUT when the connect has succeeded or
// failed.
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
	limitSendBuffer(fd)
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

// finishConnect handles the end of a connect that was in progress. It calls OnOpen after a success; after an error it
// fails or retries the dial.
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

// isSelfConnected reports whether the kernel has connected the socket to itself (TCP simultaneous open). Linux does so
// if the dialed port of this machine has no listener and the kernel picks that port from its ephemeral ports as the
// socket's own.
func (c *Conn) isSelfConnected() bool {
	if !c.remoteAddr.Addr().IsLoopback() {
		return false
	}
	local, err := unix.Getsockname(c.socket.fd)
	return err == nil && addrPortOf(local) == c.remoteAddr
}

// handleConnectError schedules a retry if err is a fault of this machine, and fails the dial after any other error.
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

// failDial ends the dial with err. OnOpen reports it in the next turn, unless the handler closes the connection before
// that.
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

// timeoutError returns the error of a dial that has timed out: the local fault if the dial was waiting for a retry, and
// os.ErrDeadlineExceeded otherwise.
func (d *dial) timeoutError() error {
	if d.lastError != nil {
		return fmt.Errorf("%w: %w", ErrLocalFault, d.lastError)
	}
	return os.ErrDeadlineExceeded
}

// checkDials fails the dials that have timed out, and retries those whose retry is due.
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
