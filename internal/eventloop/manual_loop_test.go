package eventloop

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// scriptedCalls are system calls that end with the errors that a test has set, for as long as they are set.
type scriptedCalls struct {
	kernelCalls
	connectResultError error
	writeError         error
}

func (s *scriptedCalls) connectResult(fd int) error {
	if s.connectResultError != nil {
		return s.connectResultError
	}
	return s.kernelCalls.connectResult(fd)
}

func (s *scriptedCalls) write(fd int, bufs [][]byte) (int, error) {
	if s.writeError != nil {
		return -1, s.writeError
	}
	return s.kernelCalls.write(fd, bufs)
}

// describeCall returns the name of a handler's call, with the error that it got.
func describeCall(name string, err error) string {
	var errno unix.Errno
	switch {
	case err == nil:
		return name
	case errors.As(err, &errno):
		return name + ": " + unix.ErrnoName(errno)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return name + ": deadline exceeded"
	}
	return name + ": " + err.Error()
}

// manualLoop is a loop whose turns a test makes one by one.
type manualLoop struct {
	*Loop
	t     *testing.T
	calls *scriptedCalls
	conn  *Conn    // the connection under test
	peer  net.Conn // its other end
}

func newManualLoop(t *testing.T) *manualLoop {
	t.Helper()
	calls := &scriptedCalls{}
	l := New(Config{MaxAcceptedConnections: 10, MaxUnreadBytes: 1 << 20})
	l.calls = calls
	return &manualLoop{Loop: l, t: t, calls: calls}
}

func (m *manualLoop) start() {
	m.t.Helper()
	check(m.t, m.Start())
	m.t.Cleanup(m.closeDescriptors)
}

// runTurn makes one runTurn at the loop's present time, with the steps of Run in their order.
func (m *manualLoop) runTurn() {
	events := m.poll.wait(m.timeUntil(m.clock.now() + 50*time.Millisecond))
	m.runDeferred()
	m.poll.dispatch(events)
	m.checkDials()
	m.flush()
	m.sweep()
}

// runTurnsUntilIdle makes runTurnsUntilIdle until nothing is left to be called.
func (m *manualLoop) runTurnsUntilIdle() {
	m.runTurn()
	for len(m.deferred) > 0 {
		m.runTurn()
	}
}

// expectState checks the state of the connection under test.
func (m *manualLoop) expectState(want connState) {
	m.t.Helper()
	if m.conn.state != want {
		m.t.Errorf("the connection is %v, want %v", m.conn.state, want)
	}
}

// readPeerToEnd reads what the peer receives until the end of the connection.
func (m *manualLoop) readPeerToEnd() string {
	m.t.Helper()
	got, err := io.ReadAll(m.peer)
	check(m.t, err)
	return string(got)
}

// peerSends makes the peer send text, and end its side of the connection if last is true.
func (m *manualLoop) peerSends(text string, last bool) {
	m.t.Helper()
	write(m.t, m.peer, []byte(text))
	if last {
		check(m.t, m.peer.(*net.TCPConn).CloseWrite())
	}
}

// startDial begins to dial a listening peer, whose end of the connection is m.peer.
func (m *manualLoop) startDial(h DialHandler) {
	m.t.Helper()
	m.start()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(m.t, err)
	m.t.Cleanup(func() { check(m.t, listener.Close()) })
	m.conn = m.Dial(listener.Addr().String(), time.Second, h)
	m.peer, err = listener.Accept()
	check(m.t, err)
	m.t.Cleanup(func() { _ = m.peer.Close() }) // some tests close it themselves
	check(m.t, m.peer.SetDeadline(time.Now().Add(testTimeout)))
}

// accept accepts a connection from a client, whose end of it is m.peer.
func (m *manualLoop) accept(h AcceptedHandler) {
	m.t.Helper()
	m.Listen("127.0.0.1:0", func(c *Conn) AcceptedHandler {
		m.conn = c
		return h
	})
	m.start()
	m.peer = dialLoop(m.t, m.Loop)
	m.runTurn()
}
