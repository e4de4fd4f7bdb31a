package eventloop

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
)

// Guards against a listener on all addresses whose connections, each with a local address of its own, are
// assigned to no listener.
func TestBindingsFindListenerOfConnection(t *testing.T) {
	found := ""
	accept := func(name string) acceptFunc {
		return func(*Conn) AcceptedHandler {
			found = name
			return nil
		}
	}
	addr := func(text string) net.Addr { return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(text)) }
	b := bindings{}
	b.add(addr("127.0.0.1:80"), accept("single"))
	b.add(addr("0.0.0.0:90"), accept("wildcard"))
	b.add(addr("127.0.0.3:90"), accept("beside wildcard"))
	for _, c := range []struct{ local, want string }{
		{"127.0.0.1:80", "single"},
		{"127.0.0.2:90", "wildcard"},
		{"127.0.0.3:90", "beside wildcard"},
		{"[::1]:90", "wildcard"},
	} {
		t.Run(c.local, func(t *testing.T) {
			if b.find(addr(c.local))(nil); found != c.want {
				t.Errorf("got listener %q, want %q", found, c.want)
			}
		})
	}
	t.Run("unbound", func(t *testing.T) {
		if b.find(addr("127.0.0.2:80")) != nil {
			t.Error("another address on a bound port has a listener")
		}
	})
}

func TestAcceptedConnectionsAreLimited(t *testing.T) {
	accepted := make(chan *echoHandler, 10)
	l := startLoop(t, 1, func(c *Conn) AcceptedHandler {
		h := &echoHandler{conn: c, times: 1, openRequests: true, closed: make(chan error, 1)}
		accepted <- h
		return h
	})
	first := dialLoop(t, l)
	h := <-accepted
	_, err := dialLoop(t, l).Read(make([]byte, 1))
	if !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a second connection beside a busy one: %v", err)
	}
	l.Post(func() { h.openRequests = false })
	dialLoop(t, l)
	<-accepted // the idle one was evicted
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection: %v", err)
	}
}

// Guards clients with requests against connections that are opened by hundreds and stay silent: those are
// evicted first, the oldest first. One that has only just come may have its request on the way, one
// that has sent half of a request may have the rest there, and one whose answer is pending or unread would
// lose it.
func TestSilentConnectionsAreEvictedFirst(t *testing.T) {
	l := New(Config{})
	now := l.now
	add := func(openRequests bool, activity messageActivity) *Conn {
		c := &Conn{loop: l, handler: &echoHandler{openRequests: openRequests}, connected: true, activity: activity}
		l.accepted[c] = struct{}{}
		return c
	}
	evictable := []struct {
		name string
		conn *Conn
	}{
		{"silent for long", add(false, messageActivity{lastActivity: now - 2*silenceGrace})},
		{"silent", add(false, messageActivity{lastActivity: now - silenceGrace - 1})},
		{"idle for long", add(false, messageActivity{completeMessages: 1, lastActivity: now - 1000*silenceGrace})},
		{"idle", add(false, messageActivity{completeMessages: 3, lastActivity: now - 2})},
		{"second message begun", add(false, messageActivity{
			completeMessages: 1, lastActivity: now - 9*silenceGrace, partialSince: now})},
		{"first message begun", add(false, messageActivity{lastActivity: now - 2*silenceGrace, partialSince: now})},
		{"new", add(false, messageActivity{lastActivity: now - silenceGrace})},
		{"newest", add(false, messageActivity{lastActivity: now})},
	}
	openRequests := add(true, messageActivity{})
	pendingAnswer := add(false, messageActivity{completeMessages: 1})
	pendingAnswer.Write([]byte("answer"))
	unreadAnswer := add(false, messageActivity{completeMessages: 1})
	unreadAnswer.addUnread(1)

	for _, c := range evictable {
		if !l.evict() || !c.conn.closed {
			t.Fatalf("the connection %q was not the next to be evicted", c.name)
		}
	}
	if l.evict() || openRequests.closed || pendingAnswer.closed || unreadAnswer.closed {
		t.Error("a connection that owes an answer was evicted")
	}
	if pendingAnswer.activity.lastActivity != now {
		t.Error("a connection counts as idle though it was just answered")
	}
}
