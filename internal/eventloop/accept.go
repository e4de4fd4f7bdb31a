package eventloop

import (
	"errors"
	"log/slog"
	"net/netip"
	"time"
)

// refusalLogInterval is the minimum time between two log lines about refused connections. A log line for each of them
// would let a flood of connections fill the log.
const refusalLogInterval = time.Second

// errTooManyConnections is logged when connections are refused because the limit on accepted connections is reached. It
// is never passed to a handler.
var errTooManyConnections = errors.New("too many accepted connections")

// maxConnectionsOverLimit is how many connections may be open beyond the limit on accepted connections because their
// first requests had arrived when the limit was reached. The descriptors that Config.MaxAcceptedConnections leaves must
// suffice for them.
const maxConnectionsOverLimit = 8

// mayAccept reports whether another connection may be accepted. If none may, connections wait in the backlog: an accepted
// connection must not be closed before its input has been read, because the input may hold requests.
func (l *Loop) mayAccept() bool {
	return len(l.accepted) < l.cfg.MaxAcceptedConnections+maxConnectionsOverLimit || l.evict(anyConnection)
}

// admit adds a connection that listener ln has accepted to the loop, and reads the input that has already arrived:
// clients that have closed their connections while these waited in the backlog do not count towards the limit on accepted
// connections. inputTime is the earliest time at which the input may have arrived.
//
// If the limit is reached and no connection can be evicted, admit closes the new connection, unless input has arrived.
func (l *Loop) admit(ln *listener, fd int, peer netip.AddrPort, inputTime time.Duration) {
	c := &Conn{
		loop: l, socket: socket{fd: fd}, remoteAddr: peer, isAccepted: true, state: stateOpen,
		progress: inputProgress{acceptedAt: l.now, arrivedSince: inputTime},
		inputTag: l.clientInput.virtual,
	}
	if !l.ensureAcceptCapacity() && !c.hasInput() {
		l.refusals.Add()
		l.closeCounts[OverLimit]++
		closeDescriptor(fd)
		return
	}
	l.acceptedCount++
	l.accepted[c] = struct{}{}
	c.activity.lastActivity = l.now
	c.acceptedHandler = ln.accept(c)
	c.handler = c.acceptedHandler
	began := l.clock.now()
	c.readFirstInput()
	l.endPart(c, began)
	if c.state.isClosed() {
		return
	}
	disableNagle(fd)
	if err := c.socket.register(l.poll, c.wantedEvents(), c); err != nil {
		slog.Error("accepted connection can't be polled", "address", peer, "error", err)
		c.closeUnpolled()
	}
}

// readFirstInput reads the input of a connection that has just been accepted. If the client has already closed its
// direction, it writes the answers and closes the connection at once.
func (c *Conn) readFirstInput() {
	c.readArrived()
	if !c.state.isClosed() && !c.state.wantsInput() {
		c.flush()
	}
}

// closeUnpolled closes an accepted connection that can't be registered with the poller. Its requests are answered first,
// as if the client had closed its direction.
func (c *Conn) closeUnpolled() {
	if c.state.apply(eventEndOfInput) {
		c.acceptedHandler.OnEndOfInput()
	}
	if c.state.isConnected() && c.writeError == nil {
		c.writePending()
	}
	c.closeWithCause(OverLimit)
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
	return l.isBelowConnectionLimit() || l.evict(anyConnection)
}

// isBelowConnectionLimit reports whether fewer connections are accepted than the limit allows.
func (l *Loop) isBelowConnectionLimit() bool { return len(l.accepted) < l.cfg.MaxAcceptedConnections }

// logRefusals logs how many connections were refused, and how often listeners had to pause, since the previous such log
// lines, if there were any.
func (l *Loop) logRefusals() {
	if count, due := l.refusals.Ready(l.now); due {
		slog.Warn("connections refused", "count", count, "error", errTooManyConnections)
	}
	if count, due := l.backlogPauses.Ready(l.now); due {
		slog.Warn("connections wait to be accepted", "pauses", count, "error", errTooManyConnections)
	}
}
