package eventloop

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"golang.org/x/sys/unix"
)

// maxDatagramsPerTurn is how many datagrams are read from one socket in one turn at most.
const maxDatagramsPerTurn = 16

// UDPConn is a connected UDP socket. Its methods must be called on the loop's goroutine.
type UDPConn struct {
	loop    *Loop
	socket  socket
	handler DialHandler
	state   connState // dialing, open or closed
}

// DialUDP opens a UDP socket that is connected to addr, a "host:port", and returns at once; h.OnOpen gets the result in
// a later turn. If the UDPConn is closed before that, h gets no call. The socket receives only datagrams from addr.
func (l *Loop) DialUDP(addr string, h DialHandler) *UDPConn {
	c := &UDPConn{loop: l, socket: socket{fd: noDescriptor}, handler: h, state: stateDialing}
	if literal, err := netip.ParseAddrPort(addr); err == nil {
		l.deferCall(func() { c.open(literal, nil) })
		return c
	}
	go func() {
		resolved, err := net.ResolveUDPAddr("udp", addr)
		if err != nil {
			l.Post(func() { c.open(netip.AddrPort{}, fmt.Errorf("resolve %s: %w", addr, err)) })
			return
		}
		l.Post(func() { c.open(resolved.AddrPort(), nil) })
	}()
	return c
}

// open opens the socket and reports the result to the handler's OnOpen. If err is not nil, the address could not be
// resolved, and OnOpen gets err.
func (c *UDPConn) open(addr netip.AddrPort, err error) {
	if c.state.isClosed() { // Close was called in the meantime
		return
	}
	if err == nil {
		err = c.connect(addr)
	}
	if err != nil {
		c.state.apply(eventClosed)
		c.handler.OnOpen(err)
		return
	}
	c.state.apply(eventConnected)
	c.handler.OnOpen(nil)
}

// connect opens the socket, connects it to addr and registers it with the poller. Connecting a UDP socket sends
// nothing: it sets the peer's address, and makes the kernel report ICMP errors of that peer.
func (c *UDPConn) connect(addr netip.AddrPort) error {
	domain, sockaddr := socketAddress(addr)
	fd, err := c.loop.calls.socket(domain, unix.SOCK_DGRAM)
	if err != nil {
		return fmt.Errorf("open a UDP socket: %w", err)
	}
	c.socket.fd = fd
	if err := c.loop.calls.connect(fd, sockaddr); err != nil {
		c.socket.close(c.loop.poll)
		return fmt.Errorf("connect a UDP socket to %s: %w", addr, err)
	}
	if err := c.socket.register(c.loop.poll, unix.EPOLLIN, c); err != nil {
		c.socket.close(c.loop.poll)
		return fmt.Errorf("register the UDP socket to %s with the poller: %w", addr, err)
	}
	c.loop.udpConns[c] = struct{}{}
	return nil
}

func (c *UDPConn) isClientConnection() bool { return false }

// onEvents reads the datagrams that have arrived, up to maxDatagramsPerTurn. An error closes the socket, for example
// ECONNREFUSED, with which Linux reports an ICMP message that the peer's port has no listener.
func (c *UDPConn) onEvents(uint32) {
	buffer := c.loop.readBuffer
	for range maxDatagramsPerTurn {
		n, err := c.loop.calls.read(c.socket.fd, buffer)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil && isTransient(err):
			return
		case err != nil:
			c.tearDown()
			c.handler.OnClose(err)
			return
		}
		c.handler.OnData(buffer[:n])
		if c.state.isClosed() {
			return
		}
	}
}

// Write sends each buffer as one datagram, at once; the caller may reuse the buffers afterwards. Errors are not
// reported: a datagram that can't be sent is lost, as any datagram may be on the network. Before OnOpen and after Close
// nothing is sent.
func (c *UDPConn) Write(bufs ...[]byte) {
	if c.state != stateOpen {
		return
	}
	for _, b := range bufs {
		_, _ = c.loop.calls.write(c.socket.fd, [][]byte{b}) // after an error the datagram is lost
	}
}

// Close closes the socket. The handler's OnClose gets net.ErrClosed in a later turn if the socket was ever open;
// otherwise the handler gets no further call.
func (c *UDPConn) Close() {
	if c.state.isClosed() {
		return
	}
	wasOpen := c.state == stateOpen
	c.tearDown()
	if wasOpen {
		c.loop.deferCall(func() { c.handler.OnClose(net.ErrClosed) })
	}
}

// tearDown closes the socket and removes it from the loop.
func (c *UDPConn) tearDown() {
	c.state.apply(eventClosed)
	c.socket.close(c.loop.poll)
	delete(c.loop.udpConns, c)
}
