package eventloop

import (
	"errors"
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// refusalLogInterval is the minimum time between two log lines about refused connections. A log line for each of them
// would let a flood of connections fill the log.
const refusalLogInterval = time.Second

// errTooManyConnections is logged when connections are refused because the limit on accepted connections is reached. It
// is never passed to a handler.
var errTooManyConnections = errors.New("too many accepted connections")

// admit adds a connection that listener ln has accepted to the loop. If the limit on accepted connections is reached
// and no connection can be evicted, or if the new connection can't be registered with the poller, admit closes it.
func (l *Loop) admit(ln *listener, fd int, peer netip.AddrPort) {
	if !l.ensureAcceptCapacity() {
		l.refusals.Add()
		l.closeCounts[OverLimit]++
		closeDescriptor(fd)
		return
	}
	c := &Conn{loop: l, socket: socket{fd: fd}, remoteAddr: peer, isAccepted: true, state: stateOpen}
	if err := c.socket.register(l.poll, unix.EPOLLIN|unix.EPOLLRDHUP, c); err != nil {
		slog.Error("accepted connection can't be polled", "address", peer, "error", err)
		l.closeCounts[OverLimit]++
		closeDescriptor(fd)
		return
	}
	disableNagle(fd)
	l.acceptedCount++
	l.accepted[c] = struct{}{}
	c.activity.lastActivity = l.now
	c.acceptedHandler = ln.accept(c)
	c.handler = c.acceptedHandler
}

// AcceptedCount returns how many connections were accepted since the start. Refused connections are not counted.
func (l *Loop) AcceptedCount() uint64 { return l.acceptedCount }

// CloseCounts returns how many accepted connections were closed since the start, by cause. Refused connections are
// counted as OverLimit.
func (l *Loop) CloseCounts() CloseCounts { return l.closeCounts }

// AcceptedConnections returns how many accepted connections are open.
func (l *Loop) AcceptedConnections() int { return len(l.accepted) }

// ensureAcceptCapacity reports whether another connection may be accepted. If the limit is reached, it first tries to
// evict a connection.
func (l *Loop) ensureAcceptCapacity() bool {
	return len(l.accepted) < l.cfg.MaxAcceptedConnections || l.evict(anyConnection)
}

// logRefusals logs how many connections were refused since the previous such log line, if there were any.
func (l *Loop) logRefusals() {
	if count, due := l.refusals.Ready(l.now); due {
		slog.Warn("connections refused", "count", count, "error", errTooManyConnections)
	}
}
