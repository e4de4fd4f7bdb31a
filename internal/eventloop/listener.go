package eventloop

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// listenBacklog is how many connections may wait to be accepted. The kernel takes less where
	// /proc/sys/net/core/somaxconn says so.
	listenBacklog = 4096

	// maxAcceptsPerTurn is how many connections one turn accepts at most: a flood of them must not keep the loop from
	// the ones that are open.
	maxAcceptsPerTurn = 64

	// A failed accept is tried again at once. While further ones fail, the listener rests between them, from
	// minAcceptPause on and twice as long each time, up to maxAcceptPause.
	minAcceptPause = time.Millisecond
	maxAcceptPause = 20 * time.Millisecond

	// acceptLogInterval is the least time between two log lines on failed accepts.
	acceptLogInterval = time.Second
)

// acceptFunc returns the handler of a new connection of one listener. It runs on the loop's goroutine.
type acceptFunc func(*Conn) AcceptedHandler

// listener is a socket that accepts connections.
type listener struct {
	loop   *Loop
	addr   string // as asked for, a "host:port"
	accept acceptFunc

	socket   socket
	failures int           // accepts that have failed in a row
	paused   bool          // it is not polled, since accepting fails
	resumeAt time.Duration // when it is polled again
	loggedAt time.Duration // when a failed accept was last logged; 0: never
}

// Listen registers a listener on addr, a "host:port"; accept returns the handler of each of its connections.
// Listen must be called before Start, which opens the listener.
func (l *Loop) Listen(addr string, accept func(*Conn) AcceptedHandler) {
	l.listeners = append(l.listeners, &listener{loop: l, addr: addr, accept: accept, socket: socket{fd: noDescriptor}})
}

// Addrs returns the addresses that the loop listens on.
func (l *Loop) Addrs() []string {
	var addrs []string
	for _, listener := range l.listeners {
		if bound, err := unix.Getsockname(listener.socket.fd); err == nil {
			addrs = append(addrs, addrPortOf(bound).String())
		}
	}
	return addrs
}

// open binds the socket and has it polled.
func (ln *listener) open() error {
	addr, err := resolveTCP(ln.addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if err := ln.bind(addr); err != nil {
		return fmt.Errorf("listen on %s: %w", ln.addr, err)
	}
	if err := ln.socket.register(ln.loop.poll, unix.EPOLLIN, ln); err != nil {
		ln.close()
		return fmt.Errorf("poll the listener on %s: %w", ln.addr, err)
	}
	return nil
}

func (ln *listener) bind(addr netip.AddrPort) error {
	if !addr.Addr().IsValid() { // no host: all addresses, of both families
		addr = netip.AddrPortFrom(netip.IPv6Unspecified(), addr.Port())
	}
	domain, sockaddr := socketAddress(addr)
	fd, err := ln.loop.calls.socket(domain, unix.SOCK_STREAM)
	if err != nil {
		return err
	}
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil && addr.Addr() == netip.IPv6Unspecified() {
		err = unix.SetsockoptInt(fd, unix.IPPROTO_IPV6, unix.IPV6_V6ONLY, 0)
	}
	if err == nil {
		err = unix.Bind(fd, sockaddr)
	}
	if err == nil {
		err = unix.Listen(fd, listenBacklog)
	}
	if err != nil {
		closeDescriptor(fd)
		return err
	}
	ln.socket.fd = fd
	return nil
}

func (ln *listener) close() { ln.socket.close(ln.loop.poll) }

func (ln *listener) ofClient() bool { return false }

// onEvents accepts what waits, up to a bound. What is left makes the poller return at once.
func (ln *listener) onEvents(uint32) {
	for range maxAcceptsPerTurn {
		fd, peer, err := ln.loop.calls.accept(ln.socket.fd)
		if err == nil {
			ln.failures = 0
			ln.loop.admit(ln, fd, addrPortOf(peer))
			continue
		}
		if errors.Is(err, unix.EAGAIN) || !ln.handleError(err) {
			return
		}
	}
}

// handleError handles a failed accept. It returns whether the next one may be tried at once.
//
// Some errors are of the one connection, which has ended while it waited (accept(2), "Error handling"). All others are
// of this process or machine, as when descriptors run out: the listener rests for a while, and its connections wait.
// Where this process has used up its own descriptors, a client that has long been silent makes room.
func (ln *listener) handleError(err error) (again bool) {
	if isOneOf(err, unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET,
		unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ECONNRESET, unix.ETIMEDOUT) {
		return true
	}
	if isOneOf(err, unix.EMFILE) && ln.loop.evict((*Conn).isAbandoned) {
		return true
	}
	ln.failures++
	if ln.failures == 1 {
		return true
	}
	ln.pause(err)
	return false
}

// pauseAfter returns how long the listener rests after so many failures in a row.
func pauseAfter(failures int) time.Duration {
	doublings := min(max(failures-2, 0), 8) // the first pause is after the second failure
	return min(minAcceptPause<<doublings, maxAcceptPause)
}

// pause stops polling the listener for a while.
func (ln *listener) pause(err error) {
	now := ln.loop.now
	if ln.loggedAt == 0 || now-ln.loggedAt >= acceptLogInterval {
		ln.loggedAt = now
		slog.Error("accept failed", "address", ln.addr, "error", err)
	}
	if err := ln.socket.setInterest(ln.loop.poll, 0); err != nil {
		return // it stays polled, and is tried again in the next turn
	}
	ln.paused = true
	ln.resumeAt = now + pauseAfter(ln.failures)
}

// resumeAccepting polls the listeners again whose pause is over.
func (l *Loop) resumeAccepting() {
	for _, ln := range l.listeners {
		if ln.paused && l.now >= ln.resumeAt && ln.socket.setInterest(l.poll, unix.EPOLLIN) == nil {
			ln.paused = false
		}
	}
}
