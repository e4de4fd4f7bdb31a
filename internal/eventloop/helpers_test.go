package eventloop

import (
	"bytes"
	"net"
	"testing"
	"time"
)

// testTimeout limits how long a test waits for an event. Only a failing test waits for that long.
const testTimeout = 20 * time.Second

// echoHandler answers each received piece of data with the given number of copies of it, each followed by a "|". A test
// sets the requests and messages that the handler reports.
type echoHandler struct {
	conn             *Conn
	copies           int
	openRequests     bool
	completeMessages int
	partialMessage   bool
	inputEnded       chan struct{} // if not nil, receives a value at the end of input
	closed           chan error
}

func (h *echoHandler) OnData(b []byte) {
	received := bytes.Clone(b) // b is valid only during the call, and Write keeps the buffer until the end of the turn
	for range h.copies {
		h.conn.Write(received, nil, []byte("|"))
	}
}
func (h *echoHandler) OnClose(err error) { h.closed <- err }
func (h *echoHandler) OnEndOfInput() {
	if h.inputEnded != nil {
		h.inputEnded <- struct{}{}
	}
}
func (h *echoHandler) HasOpenRequests() bool        { return h.openRequests }
func (h *echoHandler) MessageProgress() (int, bool) { return h.completeMessages, h.partialMessage }

// newAcceptedConn returns an open accepted connection of l without a descriptor.
func newAcceptedConn(l *Loop, h AcceptedHandler) *Conn {
	c := &Conn{
		loop:            l,
		socket:          socket{fd: noDescriptor},
		isAccepted:      true,
		handler:         h,
		acceptedHandler: h,
		state:           stateOpen,
	}
	l.accepted[c] = struct{}{}
	return c
}

// startLoop runs a loop until the test ends. The loop listens on a free port and keeps at most maxAccepted accepted
// connections open.
func startLoop(t *testing.T, maxAccepted int, accept func(*Conn) AcceptedHandler) *Loop {
	t.Helper()
	l := New(Config{
		MaxAcceptedConnections: maxAccepted,
		MaxUnreadBytes:         32 << 20,
	})
	l.Listen("127.0.0.1:0", accept)
	runLoop(t, l)
	return l
}

// runLoop runs l until the test ends.
func runLoop(t *testing.T, l *Loop) {
	t.Helper()
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		l.Run(func(time.Duration) {}, func(now time.Duration) time.Duration { return now + time.Hour })
		close(done)
	}()
	t.Cleanup(func() {
		l.Post(l.Stop)
		<-done
	})
}

// runOnLoop runs f on l's goroutine and waits until it has returned.
func runOnLoop(l *Loop, f func()) {
	done := make(chan struct{})
	l.Post(func() {
		f()
		close(done)
	})
	<-done
}

// dialLoop returns a client's connection to l, which is closed when the test ends.
func dialLoop(t *testing.T, l *Loop) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addrs()[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // some tests close it themselves
	requireNoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return conn.(*net.TCPConn)
}

// write writes b to conn, and stops the test on an error.
func write(t *testing.T, conn net.Conn, b []byte) {
	t.Helper()
	if _, err := conn.Write(b); err != nil {
		t.Fatal(err)
	}
}

// requireNoError stops the test if err is not nil.
func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
