package eventloop

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"
)

// refusalLogInterval is the least time between two log lines on refused connections: with one for each of them a
// flood would fill the log.
const refusalLogInterval = time.Second

// ErrTooManyConnections is logged for connections refused beyond the limit on accepted ones.
var ErrTooManyConnections = errors.New("too many accepted connections")

// acceptFunc returns the handler of a new connection of one listener. It runs on the loop's goroutine.
type acceptFunc func(*Conn) AcceptedHandler

// Listen registers a listener on addr, a "host:port"; accept returns the handler of each of its connections.
// Listen must be called before Start, which opens the listener.
func (l *Loop) Listen(addr string, accept func(*Conn) AcceptedHandler) { l.listeners[addr] = accept }

// Addrs returns the addresses that the loop listens on.
func (l *Loop) Addrs() []string { return l.engine.Addrs }

// bindings finds the listener of a connection by the local address that it was made to. nbio does not tell
// which listener accepted a connection.
type bindings map[string]acceptFunc

// add enters a listener. One on all addresses is entered under its port alone, since each of its
// connections has the address that the peer chose.
func (b bindings) add(addr net.Addr, accept acceptFunc) {
	if tcp, ok := addr.(*net.TCPAddr); ok && tcp.IP.IsUnspecified() {
		b[wildcardKey(tcp)] = accept
		return
	}
	b[addr.String()] = accept
}

// find returns nil if no listener is bound to addr.
func (b bindings) find(addr net.Addr) acceptFunc {
	if accept := b[addr.String()]; accept != nil {
		return accept
	}
	if tcp, ok := addr.(*net.TCPAddr); ok {
		return b[wildcardKey(tcp)]
	}
	return nil
}

func wildcardKey(addr *net.TCPAddr) string { return fmt.Sprint(addr.Port) }

// handleAccepted admits a new connection, or refuses it if there is no room and none can be made.
func (l *Loop) handleAccepted(c *Conn) {
	if c.accept == nil || !l.admits() {
		l.refusals.Add()
		c.closeFor(OverLimit)
		return
	}
	l.Accepted++
	c.connected = true
	c.activity.lastActivity = l.now
	l.accepted[c] = struct{}{}
	c.handler = c.accept(c)
}

func (l *Loop) admits() bool {
	return len(l.accepted) < l.cfg.MaxAcceptedConnections || l.evict()
}

// evict makes room for a new connection by closing an accepted one that owes no answer. It returns false if
// there is none.
//
// The candidate with the lowest eviction priority goes first, and among equals the one that has been inactive for
// longest. So connections that are opened by hundreds and stay silent displace each other, and neither those of
// clients that have sent requests nor those whose request is on its way.
func (l *Loop) evict() bool {
	var victim *Conn
	for c := range l.accepted {
		if c.closed || c.owesAnswer() {
			continue
		}
		if victim == nil || c.activity.evictsBefore(&victim.activity, l.now) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	victim.closeFor(Evicted)
	return true
}

// owesAnswer reports whether an accepted connection has a request without an answer, or an answer that has
// yet to leave: closing drops what is queued, and with it the only answer to a request.
func (c *Conn) owesAnswer() bool {
	return c.hasOpenRequests() || len(c.pending) > 0 || c.unread.Load() > 0
}

func (c *Conn) hasOpenRequests() bool {
	return c.handler.(AcceptedHandler).HasOpenRequests()
}

// logRefusals logs how many connections were refused since the last line, if any.
func (l *Loop) logRefusals() {
	if count, due := l.refusals.Ready(l.now); due {
		slog.Warn("connections refused", "count", count, "error", ErrTooManyConnections)
	}
}
