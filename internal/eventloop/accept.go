package eventloop

import (
	"errors"
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// refusalLogInterval is the least time between two log lines on refused connections: with one line for each of them a
// flood would fill the log.
const refusalLogInterval = time.Second

// errTooManyConnections is logged for connections refused beyond the limit on accepted ones. No handler gets it.
var errTooManyConnections = errors.New("too many accepted connections")

// admit takes a new connection over from a listener. It closes the connection if the limit on accepted ones is reached
// and none can be evicted.
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

// AcceptedCount returns how many connections were accepted since the start.
func (l *Loop) AcceptedCount() uint64 { return l.acceptedCount }

// CloseCounts returns how many accepted connections were closed since the start, by cause.
func (l *Loop) CloseCounts() CloseCounts { return l.closeCounts }

// AcceptedConnections returns how many accepted connections are open.
func (l *Loop) AcceptedConnections() int { return len(l.accepted) }

// ensureAcceptCapacity reports whether one more connection may be accepted. Where the limit is reached it evicts one.
func (l *Loop) ensureAcceptCapacity() bool {
	return len(l.accepted) < l.cfg.MaxAcceptedConnections || l.evict(anyConnection)
}

// logRefusals logs how many connections were refused since the last line, if any.
func (l *Loop) logRefusals() {
	if count, due := l.refusals.Ready(l.now); due {
		slog.Warn("connections refused", "count", count, "error", errTooManyConnections)
	}
}
