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

// scriptedCalls makes system calls return the errors that a test has set, for as long as they are set.
type scriptedCalls struct {
	kernelCalls
	connectResultError error
	writeError         error
	readErrors         []error       // the errors of the next reads, in order
	noInput            bool          // reads find nothing
	age                time.Duration // the age of all connections, if it or ageError is set
	ageError           error
}

func (s *scriptedCalls) connectionAge(fd int) (time.Duration, error) {
	if s.age > 0 || s.ageError != nil {
		return s.age, s.ageError
	}
	return s.kernelCalls.connectionAge(fd)
}

func (s *scriptedCalls) connectResult(fd int) error {
	if s.connectResultError != nil {
		return s.connectResultError
	}
	return s.kernelCalls.connectResult(fd)
}

func (s *scriptedCalls) read(fd int, b []byte) (int, error) {
	if len(s.readErrors) > 0 {
		err := s.readErrors[0]
		s.readErrors = s.readErrors[1:]
		return -1, err
	}
	if s.noInput {
		return -1, unix.EAGAIN
	}
	return s.kernelCalls.read(fd, b)
}

func (s *scriptedCalls) write(fd int, bufs [][]byte) (int, error) {
	if s.writeError != nil {
		return -1, s.writeError
	}
	return s.kernelCalls.write(fd, bufs)
}

// describeCall describes a handler's call by its name and the error that it got.
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

// manualLoop is a loop whose turns a test runs one by one.
type manualLoop struct {
	*Loop
	t     *testing.T
	calls *scriptedCalls
	conn  *Conn    // the connection under test
	peer  net.Conn // the peer's end of conn
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
	requireNoError(m.t, m.Start())
	m.t.Cleanup(m.closeDescriptors)
}

// runTurn runs one turn at the time m.now. It takes the steps of Run that the tests need, in the same order, and always
// sweeps.
func (m *manualLoop) runTurn() {
	events, complete := m.poll.wait(m.timeUntil(m.clock.now() + 50*time.Millisecond))
	m.recordPoll(complete)
	m.runDeferred()
	m.poll.dispatch(events)
	m.readScheduled(&m.clientInput)
	m.readScheduled(&m.workerInput)
	m.checkDials()
	m.flush()
	m.sweep()
}

// runTurnsUntilIdle runs turns until no calls are deferred.
func (m *manualLoop) runTurnsUntilIdle() {
	m.runTurn()
	for len(m.deferred)+len(m.failedClients) > 0 {
		m.runTurn()
	}
}

// expectState checks the state of the connection under test.
func (m *manualLoop) expectState(want connState) {
	m.t.Helper()
	if m.conn.state != want {
		m.t.Errorf("the connection is in state %v, want %v", m.conn.state, want)
	}
}

// readPeerToEnd returns what the peer receives until the connection ends.
func (m *manualLoop) readPeerToEnd() string {
	m.t.Helper()
	got, err := io.ReadAll(m.peer)
	requireNoError(m.t, err)
	return string(got)
}

// peerSends makes the peer send text and, if last is true, end its direction of the connection.
func (m *manualLoop) peerSends(text string, last bool) {
	m.t.Helper()
	write(m.t, m.peer, []byte(text))
	if last {
		requireNoError(m.t, m.peer.(*net.TCPConn).CloseWrite())
	}
}

// startDial begins to dial a listening peer. m.peer is the peer's end of the connection.
func (m *manualLoop) startDial(h DialHandler) {
	m.t.Helper()
	m.start()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(m.t, err)
	m.t.Cleanup(func() { requireNoError(m.t, listener.Close()) })
	m.conn = m.Dial(listener.Addr().String(), time.Second, h)
	m.peer, err = listener.Accept()
	requireNoError(m.t, err)
	m.t.Cleanup(func() { _ = m.peer.Close() }) // some tests close it themselves
	requireNoError(m.t, m.peer.SetDeadline(time.Now().Add(testTimeout)))
}

// accept makes the loop accept a connection from a client. m.peer is the client's end of the connection.
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
