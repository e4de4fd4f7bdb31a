package eventloop

import (
	"net"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// acceptedCallRecorder is the handler of an accepted connection. It records its calls in order.
type acceptedCallRecorder struct {
	calls        []string
	openRequests bool
	onData       func() // called by OnData; nil: no call
	onEndOfInput func() // called by OnEndOfInput; nil: no call
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

func (r *acceptedCallRecorder) HasOpenRequests() bool { return r.openRequests }

func (r *acceptedCallRecorder) MessageProgress() (int, bool) { return 0, false }

// acceptedScenario is a sequence of events on an accepted connection, with the calls that its handler should get and
// the close cause that should be counted.
type acceptedScenario struct {
	name  string
	run   func(m *manualLoop, h *acceptedCallRecorder)
	want  []string
	cause CloseCause
}

var acceptedScenarios = []acceptedScenario{
	{"end of input, no open request", func(m *manualLoop, _ *acceptedCallRecorder) {
		m.peerSends("request", true)
	}, []string{"data request", "end of input", "close: EOF"}, ClosedByPeer},
	{"end of input, then the last answer", func(m *manualLoop, h *acceptedCallRecorder) {
		h.openRequests = true
		m.peerSends("request", true)
		m.runTurn()
		m.expectState(stateHalfClosed)
		m.conn.Write([]byte("answer"))
		h.openRequests = false
		m.runTurnsUntilIdle()
		if got := m.readPeerToEnd(); got != "answer" {
			m.t.Errorf("the client received %q, want %q", got, "answer")
		}
	}, []string{"data request", "end of input", "close: EOF"}, ClosedByPeer},
	{"end of input, Close in OnEndOfInput", func(m *manualLoop, h *acceptedCallRecorder) {
		h.onEndOfInput = func() { m.conn.Close() }
		m.peerSends("request", true)
	}, []string{"data request", "end of input", "close"}, ClosedByHandler},
	{"end of input, CloseAfterFlush in OnEndOfInput, no open request", func(m *manualLoop, h *acceptedCallRecorder) {
		h.onEndOfInput = func() { m.conn.CloseAfterFlush() }
		m.peerSends("request", true)
	}, []string{"data request", "end of input", "close: EOF"}, ClosedByPeer},
	{"end of input, CloseAfterFlush in OnEndOfInput, open request", func(m *manualLoop, h *acceptedCallRecorder) {
		h.openRequests = true
		h.onEndOfInput = func() { m.conn.CloseAfterFlush() }
		m.peerSends("request", true)
	}, []string{"data request", "end of input", "close"}, ClosedByHandler},
	{"end of input, then CloseAfterFlush", func(m *manualLoop, h *acceptedCallRecorder) {
		h.openRequests = true
		m.peerSends("request", true)
		m.runTurn()
		m.expectState(stateHalfClosed)
		m.conn.CloseAfterFlush()
		m.expectState(stateFlushing)
	}, []string{"data request", "end of input", "close"}, ClosedByHandler},
	{"end of input, then a write fails", func(m *manualLoop, h *acceptedCallRecorder) {
		h.openRequests = true
		m.peerSends("request", true)
		m.runTurn()
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("answer"))
		m.flush()
	}, []string{"data request", "end of input", "close: EPIPE"}, ResetByPeer},
	{"end of input, then a write fails, then CloseAfterFlush", func(m *manualLoop, h *acceptedCallRecorder) {
		h.openRequests = true
		m.peerSends("request", true)
		m.runTurn()
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("answer"))
		m.flush()
		m.conn.CloseAfterFlush()
	}, []string{"data request", "end of input", "close: EPIPE"}, ResetByPeer},
	{"CloseAfterFlush in OnData", func(m *manualLoop, h *acceptedCallRecorder) {
		h.onData = func() { m.conn.CloseAfterFlush() }
		m.peerSends("request", true)
	}, []string{"data request", "close"}, ClosedByHandler},
	{"CloseAfterFlush, peer does not read", func(m *manualLoop, _ *acceptedCallRecorder) {
		m.calls.writeError = unix.EAGAIN
		m.conn.Write([]byte("answer"))
		m.conn.CloseAfterFlush()
		m.peerSends("not read any more", true)
		m.runTurn()
		m.expectState(stateFlushing)
		m.now += closeTimeout + time.Millisecond
		m.sweep()
	}, []string{"close"}, PeerNotReading},
	{"CloseAfterFlush, then the peer resets", func(m *manualLoop, _ *acceptedCallRecorder) {
		m.calls.writeError = unix.EAGAIN
		m.conn.Write([]byte("answer"))
		m.conn.CloseAfterFlush()
		m.runTurn()
		requireNoError(m.t, m.peer.(*net.TCPConn).SetLinger(0))
		requireNoError(m.t, m.peer.Close())
	}, []string{"close: ECONNRESET"}, ResetByPeer},
	{"CloseAfterFlush, then a write fails", func(m *manualLoop, _ *acceptedCallRecorder) {
		m.peerSends("not read any more", false)
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("answer"))
		m.conn.CloseAfterFlush()
		m.flush()
	}, []string{"close: EPIPE"}, ResetByPeer},
	{"write fails before the request is read", func(m *manualLoop, _ *acceptedCallRecorder) {
		m.peerSends("request", false)
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("answer"))
		m.flush()
	}, []string{"data request", "close: EPIPE"}, ResetByPeer},
	{"write fails before the request and the end of input are read", func(m *manualLoop, _ *acceptedCallRecorder) {
		m.peerSends("request", true)
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("answer"))
		m.flush()
	}, []string{"data request", "close: EOF"}, ClosedByPeer},
	{"write fails, then CloseAfterFlush in OnData", func(m *manualLoop, h *acceptedCallRecorder) {
		h.onData = func() { m.conn.CloseAfterFlush() }
		m.peerSends("request", true)
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("answer"))
		m.flush()
	}, []string{"data request", "close: EPIPE"}, ResetByPeer},
	{"write fails, then CloseAfterFlush and closeTimeout", func(m *manualLoop, _ *acceptedCallRecorder) {
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("answer"))
		m.flush()
		m.conn.CloseAfterFlush()
		m.now += closeTimeout + time.Millisecond
		m.sweep()
	}, []string{"close"}, PeerNotReading},
	{"Close", func(m *manualLoop, _ *acceptedCallRecorder) {
		m.peerSends("not read any more", true)
		m.conn.Close()
		m.conn.CloseAfterFlush()
		m.conn.Close()
	}, []string{"close"}, ClosedByHandler},
}

// Checks the calls that the handler of an accepted connection gets, their order, and the close cause that is counted,
// for different ways and times of the connection's end.
func TestAcceptedConnectionHandlerCalls(t *testing.T) {
	for _, test := range acceptedScenarios {
		t.Run(test.name, func(t *testing.T) {
			m := newManualLoop(t)
			h := &acceptedCallRecorder{}
			m.accept(h)
			test.run(m, h)
			m.runTurnsUntilIdle()
			if !slices.Equal(h.calls, test.want) {
				t.Errorf("the handler got the calls %q, want %q", h.calls, test.want)
			}
			var wantCounts CloseCounts
			wantCounts[test.cause] = 1
			if m.CloseCounts() != wantCounts {
				t.Errorf("the close counts are %v, want 1 for %v only", m.CloseCounts(), test.cause)
			}
		})
	}
}
