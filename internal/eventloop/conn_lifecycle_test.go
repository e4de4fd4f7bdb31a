package eventloop

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
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

// dialCallRecorder is the handler of a dialed connection that records its calls in order.
type dialCallRecorder struct {
	calls  []string
	onOpen func() // called by OnOpen, where set
}

func (r *dialCallRecorder) OnOpen(err error) {
	r.calls = append(r.calls, describeCall("open", err))
	if r.onOpen != nil {
		r.onOpen()
	}
}

func (r *dialCallRecorder) OnData(b []byte)   { r.calls = append(r.calls, "data "+string(b)) }
func (r *dialCallRecorder) OnClose(err error) { r.calls = append(r.calls, describeCall("close", err)) }

// acceptedCallRecorder is the handler of an accepted connection that records its calls in order.
type acceptedCallRecorder struct {
	calls        []string
	openRequests bool
	onData       func() // called by OnData, where set
	onEndOfInput func() // called by OnEndOfInput, where set
}

func (r *acceptedCallRecorder) OnData(b []byte) {
	r.calls = append(r.calls, "data "+string(b))
	if r.onData != nil {
		r.onData()
	}
}

func (r *acceptedCallRecorder) OnEndOfInput() {
	r.calls = append(r.calls, "end of input")
	if r.onEndOfInput != nil {
		r.onEndOfInput()
	}
}

func (r *acceptedCallRecorder) OnClose(err error) {
	r.calls = append(r.calls, describeCall("close", err))
}
func (r *acceptedCallRecorder) HasOpenRequests() bool        { return r.openRequests }
func (r *acceptedCallRecorder) MessageProgress() (int, bool) { return 0, false }

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

// turn makes one turn at the loop's present time, with the steps of Run in their order.
func (m *manualLoop) turn() {
	events := m.poll.wait(m.timeUntil(m.clock.now() + 50*time.Millisecond))
	m.runDeferred()
	m.poll.dispatch(events)
	m.checkDials()
	m.flush()
	m.sweep()
}

// turns makes turns until nothing is left to be called.
func (m *manualLoop) turns() {
	m.turn()
	for len(m.deferred) > 0 {
		m.turn()
	}
}

// inState checks the state of the connection under test.
func (m *manualLoop) inState(want connState) {
	m.t.Helper()
	if m.conn.state != want {
		m.t.Errorf("the connection is %v, want %v", m.conn.state, want)
	}
}

// peerReceives reads what the peer receives until the end of the connection.
func (m *manualLoop) peerReceives() string {
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
	m.turn()
}

// dialedScenario is what happens to a connection that is being dialed, and the calls that its handler gets.
type dialedScenario struct {
	name string
	run  func(m *manualLoop, h *dialCallRecorder)
	want []string
}

var dialedScenarios = []dialedScenario{
	{"closed while dialing", func(m *manualLoop, _ *dialCallRecorder) {
		m.inState(stateDialing)
		m.conn.Close()
		m.inState(stateClosed)
	}, nil},
	{"closed after flush while dialing", func(m *manualLoop, _ *dialCallRecorder) {
		m.conn.CloseAfterFlush()
		m.inState(stateDialingToClose)
		m.flush()
		m.inState(stateClosed)
	}, nil},
	{"closed after flush in the turn that connects", func(m *manualLoop, h *dialCallRecorder) {
		h.onOpen = func() {
			m.inState(stateFlushing)
			m.conn.Write([]byte("dropped"))
		}
		m.conn.CloseAfterFlush()
		m.turns()
		if got := m.peerReceives(); got != "" {
			m.t.Errorf("the peer received %q", got)
		}
	}, []string{"open", "close"}},
	{"connected", func(m *manualLoop, _ *dialCallRecorder) {
		m.turn()
		m.inState(stateOpen)
	}, []string{"open"}},
	{"refused", func(m *manualLoop, _ *dialCallRecorder) {
		m.calls.connectResultError = unix.ECONNREFUSED
	}, []string{"open: ECONNREFUSED"}},
	{"refused, and closed before the report", func(m *manualLoop, _ *dialCallRecorder) {
		m.calls.connectResultError = unix.ECONNREFUSED
		m.turn()
		m.inState(stateDialFailed)
		m.conn.Close()
		m.inState(stateClosed)
	}, nil},
	{"refused, and closed by the report", func(m *manualLoop, h *dialCallRecorder) {
		m.calls.connectResultError = unix.ECONNREFUSED
		h.onOpen = func() {
			m.inState(stateClosed)
			m.conn.Close()
		}
	}, []string{"open: ECONNREFUSED"}},
	{"refused, and closed after flush before the report", func(m *manualLoop, _ *dialCallRecorder) {
		m.calls.connectResultError = unix.ECONNREFUSED
		m.turn()
		m.conn.CloseAfterFlush()
		m.inState(stateDialFailed)
	}, []string{"open: ECONNREFUSED"}},
	{"closed after flush in the turn that is refused", func(m *manualLoop, _ *dialCallRecorder) {
		m.calls.connectResultError = unix.ECONNREFUSED
		m.conn.CloseAfterFlush()
	}, []string{"open: ECONNREFUSED"}},
	{"timed out", func(m *manualLoop, _ *dialCallRecorder) {
		m.now += 2 * time.Second
		m.checkDials()
		m.inState(stateDialFailed)
	}, []string{"open: deadline exceeded"}},
	{"ended by the peer", func(m *manualLoop, _ *dialCallRecorder) {
		m.turn()
		m.peerSends("answer", true)
	}, []string{"open", "data answer", "close: EOF"}},
	{"closed", func(m *manualLoop, _ *dialCallRecorder) {
		m.turn()
		m.peerSends("answer", true)
		m.conn.Close()
		m.conn.Close()
	}, []string{"open", "close"}},
	{"closed after flush", func(m *manualLoop, _ *dialCallRecorder) {
		m.turn()
		m.conn.Write([]byte("last"))
		m.conn.CloseAfterFlush()
		m.conn.CloseAfterFlush()
		m.conn.Write([]byte("dropped"))
		m.turns()
		if got := m.peerReceives(); got != "last" {
			m.t.Errorf("the peer received %q", got)
		}
	}, []string{"open", "close"}},
	{"write failed behind an answer", func(m *manualLoop, _ *dialCallRecorder) {
		m.turn()
		m.peerSends("answer", false)
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("request"))
		m.flush()
	}, []string{"open", "data answer", "close: EPIPE"}},
	{"write failed behind the end of input", func(m *manualLoop, _ *dialCallRecorder) {
		m.turn()
		m.peerSends("answer", true)
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("request"))
		m.flush()
	}, []string{"open", "data answer", "close: EOF"}},
	{"write failed, then closed after flush", func(m *manualLoop, _ *dialCallRecorder) {
		m.turn()
		m.peerSends("answer", false)
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("request"))
		m.flush()
		m.inState(stateOpen)
		m.conn.CloseAfterFlush()
		m.inState(stateFlushing)
	}, []string{"open", "close: EPIPE"}},
	{"write failed, then closed", func(m *manualLoop, _ *dialCallRecorder) {
		m.turn()
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("request"))
		m.flush()
		m.conn.Close()
	}, []string{"open", "close"}},
}

// Guards which calls the handler of a dialed connection gets, in which order, whatever ends the connection and when.
func TestCallsOfADialedConnection(t *testing.T) {
	for _, test := range dialedScenarios {
		t.Run(test.name, func(t *testing.T) {
			m := newManualLoop(t)
			h := &dialCallRecorder{}
			m.startDial(h)
			test.run(m, h)
			m.turns()
			if !slices.Equal(h.calls, test.want) {
				t.Errorf("the handler got the calls %q, want %q", h.calls, test.want)
			}
		})
	}
}

// acceptedScenario is what happens to an accepted connection, the calls that its handler gets and the counted cause.
type acceptedScenario struct {
	name  string
	run   func(m *manualLoop, h *acceptedCallRecorder)
	want  []string
	cause CloseCause
}

var acceptedScenarios = []acceptedScenario{
	{"end of input, nothing owed", func(m *manualLoop, _ *acceptedCallRecorder) {
		m.peerSends("request", true)
	}, []string{"data request", "end of input", "close: EOF"}, ClosedByPeer},
	{"end of input, answered", func(m *manualLoop, h *acceptedCallRecorder) {
		h.openRequests = true
		m.peerSends("request", true)
		m.turn()
		m.inState(stateHalfClosed)
		m.conn.Write([]byte("answer"))
		h.openRequests = false
		m.turns()
		if got := m.peerReceives(); got != "answer" {
			m.t.Errorf("the client received %q", got)
		}
	}, []string{"data request", "end of input", "close: EOF"}, ClosedByPeer},
	{"end of input, closed by its handler", func(m *manualLoop, h *acceptedCallRecorder) {
		h.onEndOfInput = func() { m.conn.Close() }
		m.peerSends("request", true)
	}, []string{"data request", "end of input", "close"}, ClosedByHandler},
	{"end of input, closed after flush, nothing owed", func(m *manualLoop, h *acceptedCallRecorder) {
		h.onEndOfInput = func() { m.conn.CloseAfterFlush() }
		m.peerSends("request", true)
	}, []string{"data request", "end of input", "close: EOF"}, ClosedByPeer},
	{"end of input, closed after flush, answer owed", func(m *manualLoop, h *acceptedCallRecorder) {
		h.openRequests = true
		h.onEndOfInput = func() { m.conn.CloseAfterFlush() }
		m.peerSends("request", true)
	}, []string{"data request", "end of input", "close"}, ClosedByHandler},
	{"end of input, closed after flush later", func(m *manualLoop, h *acceptedCallRecorder) {
		h.openRequests = true
		m.peerSends("request", true)
		m.turn()
		m.inState(stateHalfClosed)
		m.conn.CloseAfterFlush()
		m.inState(stateFlushing)
	}, []string{"data request", "end of input", "close"}, ClosedByHandler},
	{"end of input, then a write fails", func(m *manualLoop, h *acceptedCallRecorder) {
		h.openRequests = true
		m.peerSends("request", true)
		m.turn()
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("answer"))
		m.flush()
	}, []string{"data request", "end of input", "close: EPIPE"}, ResetByPeer},
	{"end of input, then a write fails and it is closed", func(m *manualLoop, h *acceptedCallRecorder) {
		h.openRequests = true
		m.peerSends("request", true)
		m.turn()
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("answer"))
		m.flush()
		m.conn.CloseAfterFlush()
	}, []string{"data request", "end of input", "close: EPIPE"}, ResetByPeer},
	{"closed after flush while data arrives", func(m *manualLoop, h *acceptedCallRecorder) {
		h.onData = func() { m.conn.CloseAfterFlush() }
		m.peerSends("request", true)
	}, []string{"data request", "close"}, ClosedByHandler},
	{"closed after flush, peer does not read", func(m *manualLoop, _ *acceptedCallRecorder) {
		m.calls.writeError = unix.EAGAIN
		m.conn.Write([]byte("answer"))
		m.conn.CloseAfterFlush()
		m.peerSends("not read any more", true)
		m.turn()
		m.inState(stateFlushing)
		m.now += closeTimeout + time.Millisecond
		m.sweep()
	}, []string{"close"}, PeerNotReading},
	{"closed after flush, then reset", func(m *manualLoop, _ *acceptedCallRecorder) {
		m.calls.writeError = unix.EAGAIN
		m.conn.Write([]byte("answer"))
		m.conn.CloseAfterFlush()
		m.turn()
		check(m.t, m.peer.(*net.TCPConn).SetLinger(0))
		check(m.t, m.peer.Close())
	}, []string{"close: ECONNRESET"}, ResetByPeer},
	{"closed after flush, then a write fails", func(m *manualLoop, _ *acceptedCallRecorder) {
		m.peerSends("not read any more", false)
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("answer"))
		m.conn.CloseAfterFlush()
		m.flush()
	}, []string{"close: EPIPE"}, ResetByPeer},
	{"write failed behind a request", func(m *manualLoop, _ *acceptedCallRecorder) {
		m.peerSends("request", false)
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("answer"))
		m.flush()
	}, []string{"data request", "close: EPIPE"}, ResetByPeer},
	{"write failed behind the end of input", func(m *manualLoop, _ *acceptedCallRecorder) {
		m.peerSends("request", true)
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("answer"))
		m.flush()
	}, []string{"data request", "close: EOF"}, ClosedByPeer},
	{"write failed, and closed after flush by what is read then", func(m *manualLoop, h *acceptedCallRecorder) {
		h.onData = func() { m.conn.CloseAfterFlush() }
		m.peerSends("request", true)
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("answer"))
		m.flush()
	}, []string{"data request", "close: EPIPE"}, ResetByPeer},
	{"write failed, and the time to close is over", func(m *manualLoop, _ *acceptedCallRecorder) {
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("answer"))
		m.flush()
		m.conn.CloseAfterFlush()
		m.now += closeTimeout + time.Millisecond
		m.sweep()
	}, []string{"close"}, PeerNotReading},
	{"closed", func(m *manualLoop, _ *acceptedCallRecorder) {
		m.peerSends("not read any more", true)
		m.conn.Close()
		m.conn.CloseAfterFlush()
		m.conn.Close()
	}, []string{"close"}, ClosedByHandler},
}

// Guards which calls the handler of an accepted connection gets, in which order, and the counted cause, whatever ends the
// connection and when.
func TestCallsOfAnAcceptedConnection(t *testing.T) {
	for _, test := range acceptedScenarios {
		t.Run(test.name, func(t *testing.T) {
			m := newManualLoop(t)
			h := &acceptedCallRecorder{}
			m.accept(h)
			test.run(m, h)
			m.turns()
			if !slices.Equal(h.calls, test.want) {
				t.Errorf("the handler got the calls %q, want %q", h.calls, test.want)
			}
			var wantCounts CloseCounts
			wantCounts[test.cause] = 1
			if m.Closed != wantCounts {
				t.Errorf("the causes were counted %v, want one %v", m.Closed, test.cause)
			}
		})
	}
}
