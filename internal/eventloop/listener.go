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
	// listenBacklog is how many connections may wait to be accepted. Linux limits it to /proc/sys/net/core/somaxconn.
	listenBacklog = 4096

	// maxAcceptsPerTurn is how many connections one turn accepts at most: a flood of them must not keep the loop from
	// the open ones.
	maxAcceptsPerTurn = 64

	// A failed accept is retried at once. While further ones fail, the listener pauses between them, first for
	// minAcceptPause and twice as long each time, up to maxAcceptPause.
	minAcceptPause = time.Millisecond
	maxAcceptPause = 20 * time.Millisecond

	// maxAcceptDoublings keeps the shift of pauseAfter from overflowing. The pause has reached maxAcceptPause long before.
	maxAcceptDoublings = 8

	// acceptLogInterval is the least time between two log lines on failed accepts.
	acceptLogInterval = time.Second
)

// acceptFunc returns the handler of a new connection of one listener. It runs on the loop's goroutine.
type acceptFunc func(*Conn) AcceptedHandler

// listener is a socket that accepts connections.
type listener struct {
	loop   *Loop
	addr   string // the "host:port" that Listen was given
	accept acceptFunc

	socket   socket
	failures int           // accepts that have failed in a row
	paused   bool          // it is not polled, because accept fails
	resumeAt time.Duration // when the pause ends
	loggedAt time.Duration // when a failed accept was last logged; 0: never
}

// Listen registers a listener on addr, a "host:port"; without a host it listens on all addresses, IPv4 and IPv6. Listen
// must be called before Start, which opens the listener.
//
// The loop calls accept for each new connection, on its own goroutine. accept returns the connection's handler. It may call
// Write and CloseAfterFlush of the Conn, but not Close: a close asks the handler HasOpenRequests, and the Conn has no handler
// until accept has returned.
func (l *Loop) Listen(addr string, accept func(*Conn) AcceptedHandler) {
	l.listeners = append(l.listeners, &listener{loop: l, addr: addr, accept: accept, socket: socket{fd: noDescriptor}})
}

// Addrs returns the addresses that the loop listens on, with the ports that the kernel has chosen. It returns none before
// Start.
func (l *Loop) Addrs() []string {
	var addrs []string
	for _, listener := range l.listeners {
		if bound, err := unix.Getsockname(listener.socket.fd); err == nil {
			addrs = append(addrs, addrPortOf(bound).String())
		}
	}
	return addrs
}

// open opens the listening socket and registers it with the poller.
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

// bind opens a socket that listens on addr. SO_REUSEADDR lets it have the port while connections of a process before this
// one are still in TIME_WAIT. A socket on all IPv6 addresses takes IPv4 too (IPV6_V6ONLY off).
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

func (ln *listener) isClientConnection() bool { return false }

// onEvents accepts the connections that wait, up to a bound. The poller is level-triggered: while some are left, the next
// wait returns at once.
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

// handleError handles a failed accept. It reports whether the next one may be tried at once.
//
// After an error of the one connection it may. All other errors are of this process or machine, as when descriptors run
// out: the listener pauses, and the connections wait in the backlog. If this process has used up its own descriptors
// (EMFILE), a client that is silent or idle for long is evicted first.
func (ln *listener) handleError(err error) (retryNow bool) {
	if isPerConnectionError(err) {
		return true
	}
	if isOneOf(err, unix.EMFILE) && ln.loop.evict((*Conn).isLongIdle) {
		return true
	}
	ln.failures++
	if ln.failures == 1 {
		return true
	}
	ln.pause(err)
	return false
}

// isPerConnectionError reports whether an accept failed because of the connection that it would have returned, or was
// interrupted (EINTR). The connection was aborted while it waited (ECONNABORTED), or has a pending network error, which
// Linux returns from accept instead of from the connection's first read (accept(2), "Error handling").
func isPerConnectionError(err error) bool {
	return isOneOf(err, unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN,
		unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ECONNRESET, unix.ETIMEDOUT)
}

// pauseAfter returns how long the listener pauses after so many failures in a row.
func pauseAfter(failures int) time.Duration {
	doublings := min(max(failures-2, 0), maxAcceptDoublings) // the first pause is after the second failure
	return min(minAcceptPause<<doublings, maxAcceptPause)
}

// pause stops polling the listener until resumeAt, and logs err, which made accept fail.
func (ln *listener) pause(err error) {
	now := ln.loop.now
	if ln.loggedAt == 0 || now-ln.loggedAt >= acceptLogInterval {
		ln.loggedAt = now
		slog.Error("accept failed", "address", ln.addr, "error", err)
	}
	if err := ln.socket.setInterest(ln.loop.poll, 0); err != nil {
		return // it stays polled, so that the next turn tries to accept again
	}
	ln.paused = true
	ln.resumeAt = now + pauseAfter(ln.failures)
}

// resumeAccepting polls those listeners again whose pause has ended.
func (l *Loop) resumeAccepting() {
	for _, ln := range l.listeners {
		if ln.paused && l.now >= ln.resumeAt && ln.socket.setInterest(l.poll, unix.EPOLLIN) == nil {
			ln.paused = false
		}
	}
}
