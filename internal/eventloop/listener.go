package eventloop

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// listenBacklog is how many connections may wait to be accepted. Linux caps it at /proc/sys/net/core/somaxconn.
	listenBacklog = 4096

	// maxAcceptsPerTurn is how many connections a listener accepts in one turn at most, so that a flood of new
	// connections does not keep the loop from serving the open ones.
	maxAcceptsPerTurn = 64

	// acceptBudget is how long a listener accepts connections and reads their first input in one turn.
	acceptBudget = 4 * time.Millisecond

	// After a failed accept, the listener tries again at once. If further attempts fail, it pauses after each of them,
	// first for minAcceptPause and then twice as long each time, up to maxAcceptPause.
	minAcceptPause = time.Millisecond
	maxAcceptPause = 20 * time.Millisecond

	// maxAcceptDoublings keeps the shift in pauseAfter from overflowing. The pause reaches maxAcceptPause after fewer
	// doublings.
	maxAcceptDoublings = 8

	// capacityPause is how long a listener pauses if no connection may be accepted, unless a connection closes earlier.
	// Open connections may become evictable meanwhile.
	capacityPause = 5 * time.Millisecond

	// acceptLogInterval is the minimum time between two log lines about failed accepts of a listener.
	acceptLogInterval = time.Second
)

// acceptFunc returns the handler of a new connection. It runs on the loop's goroutine.
type acceptFunc func(*Conn) AcceptedHandler

// listener is a socket that accepts connections.
type listener struct {
	loop   *Loop
	addr   string // the "host:port" that Listen was given
	accept acceptFunc

	socket   socket
	failures int           // consecutive failed accepts
	paused   bool          // the listener is not polled because accept fails, or awaitsCapacity is true
	resumeAt time.Duration // when the pause ends
	// awaitsCapacity means that the pause ends earlier if a connection closes.
	awaitsCapacity bool
	// backlogged means that connections may be left in the backlog: the last turn in which the poller reported some has
	// not accepted them all.
	backlogged bool
	reported   bool          // the poller has reported connections in this turn
	emptiedAt  time.Duration // when the backlog was last found empty; initially when the listener was opened
	loggedAt   time.Duration // when a failed accept was last logged; 0 if none was
}

// Listen registers a listener on addr, a "host:port". Without a host it listens on all addresses, IPv4 and IPv6. Listen
// must be called before Start, which opens the listener.
//
// The loop calls accept for each new connection, on the loop's goroutine. accept returns the connection's handler. It
// may call Write and CloseAfterFlush of the Conn, but not Close: Close calls the handler's HasOpenRequests, and the
// Conn has no handler until accept has returned.
func (l *Loop) Listen(addr string, accept func(*Conn) AcceptedHandler) {
	l.listeners = append(l.listeners, &listener{loop: l, addr: addr, accept: accept, socket: socket{fd: noDescriptor}})
}

// Addrs returns the addresses that the loop listens on, including the ports that the kernel has chosen. Before Start it
// returns none.
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
	ln.emptiedAt = ln.loop.now
	if err := ln.socket.register(ln.loop.poll, unix.EPOLLIN, ln); err != nil {
		ln.close()
		return fmt.Errorf("register the listener on %s with the poller: %w", ln.addr, err)
	}
	return nil
}

// bind opens a socket that listens on addr. SO_REUSEADDR allows it to use the port while connections of an earlier
// process are still in TIME_WAIT. A socket on all IPv6 addresses also accepts IPv4 (IPV6_V6ONLY off).
func (ln *listener) bind(addr netip.AddrPort) error {
	if !addr.Addr().IsValid() { // no host: all addresses, IPv4 and IPv6
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

// onEvents accepts the waiting connections, up to maxAcceptsPerTurn and acceptBudget. The poller is level-triggered:
// if connections are left, the next wait returns at once.
func (ln *listener) onEvents(uint32) {
	wasBacklogged := ln.backlogged
	ln.reported = true
	ln.backlogged = true
	began := ln.loop.clock.now()
	for range maxAcceptsPerTurn {
		if ln.loop.clock.now()-began >= acceptBudget {
			return
		}
		if !ln.loop.mayAccept() {
			ln.pauseForCapacity()
			return
		}
		fd, peer, err := ln.loop.calls.accept(ln.socket.fd)
		if err == nil {
			ln.failures = 0
			ln.loop.admit(ln, fd, addrPortOf(peer), ln.inputTime(fd, wasBacklogged))
			continue
		}
		if errors.Is(err, unix.EAGAIN) {
			ln.recordEmptyBacklog()
			return
		}
		if !ln.handleError(err) {
			return
		}
	}
}

func (ln *listener) recordEmptyBacklog() {
	ln.backlogged = false
	ln.emptiedAt = ln.loop.now
}

// inputTime returns the earliest time at which input of the accepted connection fd may have arrived. If the backlog was
// empty after the previous turn, the connection did not wait in it, except during a pause that Loop.InputTime takes into
// account. Otherwise the input may have arrived as soon as the connection was established.
func (ln *listener) inputTime(fd int, wasBacklogged bool) time.Duration {
	if !wasBacklogged {
		return ln.loop.inputTime
	}
	age, err := ln.loop.calls.connectionAge(fd)
	if err != nil {
		return ln.emptiedAt
	}
	return max(ln.loop.now-age, ln.emptiedAt)
}

// handleError handles a failed accept. It reports whether accept may be called again at once.
//
// accept may be called again at once if the error concerns a single connection. Any other error concerns this process
// or machine, for example a lack of descriptors: from the second consecutive failure on, the listener pauses, and the
// connections wait in the backlog. If this process has used up its own descriptors (EMFILE), the loop first tries to
// evict a client that is silent or has been idle for long.
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
// interrupted (EINTR). Such a connection was aborted while it waited (ECONNABORTED), or it has a pending network error,
// which Linux returns from accept instead of from the connection's first read (accept(2), "Error handling").
func isPerConnectionError(err error) bool {
	return isOneOf(err, unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN,
		unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ECONNRESET, unix.ETIMEDOUT)
}

// pauseAfter returns how long the listener pauses after the given number of consecutive failures.
func pauseAfter(failures int) time.Duration {
	doublings := min(max(failures-2, 0), maxAcceptDoublings) // the first pause follows the second failure
	return min(minAcceptPause<<doublings, maxAcceptPause)
}

// pauseForCapacity stops polling the listener because no connection may be accepted.
func (ln *listener) pauseForCapacity() {
	ln.loop.backlogPauses.Add()
	ln.pauseFor(capacityPause)
	ln.awaitsCapacity = ln.paused
}

// pause stops polling the listener because accept has failed with err. It logs err at most once per acceptLogInterval.
func (ln *listener) pause(err error) {
	now := ln.loop.now
	if ln.loggedAt == 0 || now-ln.loggedAt >= acceptLogInterval {
		ln.loggedAt = now
		slog.Error("accept failed", "address", ln.addr, "error", err)
	}
	ln.pauseFor(pauseAfter(ln.failures))
}

// pauseFor stops polling the listener for a time.
func (ln *listener) pauseFor(duration time.Duration) {
	if err := ln.socket.setInterest(ln.loop.poll, 0); err != nil {
		return // the listener stays polled, and the next turn tries to accept again
	}
	ln.paused = true
	ln.resumeAt = ln.loop.now + duration
}

// resumeTime returns when the listener's pause ends, which is at once if it waits for a connection to close and one has
// closed. It returns never if the listener is not paused.
func (ln *listener) resumeTime() time.Duration {
	switch {
	case !ln.paused:
		return never
	case ln.awaitsCapacity && ln.loop.isBelowConnectionLimit():
		return ln.loop.now
	default:
		return ln.resumeAt
	}
}

// resumeAccepting resumes polling of the listeners whose pause has ended, and records that the backlog of a polled
// listener is empty if the poller has reported no connection in this turn.
func (l *Loop) resumeAccepting() {
	for _, ln := range l.listeners {
		if !ln.paused && !ln.reported {
			ln.recordEmptyBacklog()
		}
		ln.reported = false
		if l.now >= ln.resumeTime() && ln.socket.setInterest(l.poll, unix.EPOLLIN) == nil {
			ln.paused = false
			ln.awaitsCapacity = false
		}
	}
}

// HasBacklog reports whether connections may wait to be accepted because a turn could not accept them all.
func (l *Loop) HasBacklog() bool {
	return slices.ContainsFunc(l.listeners, func(ln *listener) bool { return ln.backlogged })
}
