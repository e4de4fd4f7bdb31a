package eventloop

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// Guards against a connection that gets the handler of another listener, also if a listener listens on all addresses.
func TestAcceptedConnectionsUseHandlerOfTheirListener(t *testing.T) {
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
	requireNoError(t, err)
	for _, test := range []struct{ addr, want string }{
		{addrs[0], "single"},
		{"127.0.0.1:" + wildcardPort, "wildcard"},
		{"127.0.0.2:" + wildcardPort, "wildcard"},
	} {
		conn, err := net.Dial("tcp", test.addr)
		requireNoError(t, err)
		if got := <-found; got != test.want {
			t.Errorf("connection to %s: got the handler of listener %q, want %q", test.addr, got, test.want)
		}
		requireNoError(t, conn.Close())
	}
}

// At the limit, a new connection is refused while the open one has an open request. Once the open connection is idle,
// it is evicted for a new one.
func TestAcceptedConnectionsAreLimited(t *testing.T) {
	accepted := make(chan *echoHandler, 10)
	l := startLoop(t, 1, func(c *Conn) AcceptedHandler {
		h := &echoHandler{conn: c, copies: 1, openRequests: true, closed: make(chan error, 1)}
		accepted <- h
		return h
	})
	first := dialLoop(t, l)
	h := <-accepted
	_, err := dialLoop(t, l).Read(make([]byte, 1))
	if !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the second connection, while the first has an open request: got %v, want EOF or ECONNRESET", err)
	}
	runOnLoop(l, func() { h.openRequests = false })
	dialLoop(t, l)
	<-accepted // accepted because the idle connection was evicted
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection: got %v, want EOF", err)
	}
}
