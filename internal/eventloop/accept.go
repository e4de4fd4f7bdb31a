package eventloop

import (
	"errors"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// maxEvictionTries is how many connections with unread input are passed over in the search for one to evict.
const maxEvictionTries = 8

// refusalLogInterval is the least time between two log lines on refused connections: with one for each of them a
// flood would fill the log.
const refusalLogInterval = time.Second

// ErrTooManyConnections is logged for connections refused beyond the limit on accepted ones.
var ErrTooManyConnections = errors.New("too many accepted connections")

// admit takes a new connection in, or refuses it if there is no room and none can be made.
func (l *Loop) admit(ln *listener, fd int, peer netip.AddrPort) {
	if !l.hasRoom() {
		l.refusals.Add()
		l.Closed[OverLimit]++
		closeDescriptor(fd)
		return
	}
	c := &Conn{loop: l, socket: socket{fd: fd}, remoteAddr: peer, isAccepted: true, state: stateOpen}
	if err := c.socket.register(l.poll, unix.EPOLLIN|unix.EPOLLRDHUP, c); err != nil {
		slog.Error("accepted connection can't be polled", "address", peer, "error", err)
		l.Closed[OverLimit]++
		closeDescriptor(fd)
		return
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // answers may wait for a while without it
	l.Accepted++
	l.accepted[c] = struct{}{}
	c.activity.lastActivity = l.now
	c.acceptedHandler = ln.accept(c)
	c.handler = c.acceptedHandler
}

// AcceptedConnections returns how many accepted connections are open.
func (l *Loop) AcceptedConnections() int { return len(l.accepted) }

func (l *Loop) hasRoom() bool {
	return len(l.accepted) < l.cfg.MaxAcceptedConnections || l.evict(anyConnection)
}

// evict makes room for a new connection by closing an accepted one that owes no answer and is eligible. It
// returns false if there is none.
//
// The candidate with the lowest eviction priority goes first, and among equals the one that has been inactive for
// longest. So connections that are opened by hundreds and stay silent displace each other, and neither those of
// clients that have sent requests nor those whose request is on its way. One with unread input is passed over: a
// request may be in it.
func (l *Loop) evict(eligible func(*Conn) bool) bool {
	var withInput []*Conn
	for len(withInput) < maxEvictionTries {
		victim := l.evictionCandidate(eligible, withInput)
		if victim == nil {
			return false
		}
		if !victim.hasInput() {
			victim.closeFor(Evicted)
			return true
		}
		withInput = append(withInput, victim)
	}
	return false
}

// evictionCandidate returns the next connection to be evicted, leaving out some; nil if there is none.
func (l *Loop) evictionCandidate(eligible func(*Conn) bool, without []*Conn) *Conn {
	var victim *Conn
	for c := range l.accepted {
		if c.owesAnswer() || !eligible(c) || slices.Contains(without, c) {
			continue
		}
		if victim == nil || c.activity.evictsBefore(&victim.activity, l.now) {
			victim = c
		}
	}
	return victim
}

// anyConnection makes every connection that owes no answer eligible.
func anyConnection(*Conn) bool { return true }

// isAbandoned reports whether the client has been silent for longer than a client that is of use.
func (c *Conn) isAbandoned() bool {
	switch c.activity.evictionPriority(c.loop.now) {
	case evictSilent:
		return true
	case evictIdle:
		return c.loop.now-c.activity.lastActivity > abandonedAfter
	default:
		return false
	}
}

// logRefusals logs how many connections were refused since the last line, if any.
func (l *Loop) logRefusals() {
	if count, due := l.refusals.Ready(l.now); due {
		slog.Warn("connections refused", "count", count, "error", ErrTooManyConnections)
	}
}
