package eventloop

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// Each connection gets the handler of its own listener, also one on all addresses.
func TestConnectionsFindTheirListener(t *testing.T) {
	found := make(chan string, 1)
	accept := func(name string) acceptFunc {
		return func(c *Conn) AcceptedHandler {
			found <- name
			return &echoHandler{conn: c, closed: make(chan error, 1)}
		}
	}
	l := New(Config{MaxAcceptedConnections: 10, MaxUnreadBytes: 1 << 20})
	l.Listen("127.0.0.1:0", accept("single"))
	l.Listen(":0", accept("wildcard"))
	runLoop(t, l)
	addrs := l.Addrs()
	_, wildcardPort, err := net.SplitHostPort(addrs[1])
	check(t, err)
	for _, test := range []struct{ addr, want string }{
		{addrs[0], "single"},
		{"127.0.0.1:" + wildcardPort, "wildcard"},
		{"127.0.0.2:" + wildcardPort, "wildcard"},
	} {
		conn, err := net.Dial("tcp", test.addr)
		check(t, err)
		if got := <-found; got != test.want {
			t.Errorf("%s: got listener %q, want %q", test.addr, got, test.want)
		}
		check(t, conn.Close())
	}
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
	call(l, func() { h.openRequests = false })
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
		h := &echoHandler{openRequests: openRequests}
		c := newAcceptedConn(l, h)
		c.activity = activity
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
	unreadAnswer.setUnsent([]byte("a"))

	for _, c := range evictable {
		if !l.evict(anyConnection) || c.conn.state != stateClosed {
			t.Fatalf("the connection %q was not the next to be evicted", c.name)
		}
	}
	if l.evict(anyConnection) || openRequests.state != stateOpen || pendingAnswer.state != stateOpen || unreadAnswer.state != stateOpen {
		t.Error("a connection that owes an answer was evicted")
	}
	if pendingAnswer.activity.lastActivity != now {
		t.Error("a connection counts as idle though it was just answered")
	}
}
