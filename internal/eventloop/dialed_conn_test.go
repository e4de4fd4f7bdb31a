package eventloop

import (
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// dialCallRecorder is the handler of a dialed connection. It records its calls in order.
type dialCallRecorder struct {
	calls  []string
	onOpen func() // called by OnOpen; nil: no call
}

func (r *dialCallRecorder) OnOpen(err error) {
	r.calls = append(r.calls, describeCall("open", err))
	if r.onOpen != nil {
		r.onOpen()
	}
}

func (r *dialCallRecorder) OnData(b []byte) { r.calls = append(r.calls, "data "+string(b)) }

func (r *dialCallRecorder) OnClose(err error) { r.calls = append(r.calls, describeCall("close", err)) }

// dialedScenario is a sequence of events on a connection that is being dialed, with the calls that its handler should
// get.
type dialedScenario struct {
	name string
	run  func(m *manualLoop, h *dialCallRecorder)
	want []string
}

var dialedScenarios = []dialedScenario{
	{"Close while dialing", func(m *manualLoop, _ *dialCallRecorder) {
		m.expectState(stateDialing)
		m.conn.Close()
		m.expectState(stateClosed)
	}, nil},
	{"CloseAfterFlush while dialing", func(m *manualLoop, _ *dialCallRecorder) {
		m.conn.CloseAfterFlush()
		m.expectState(stateDialingToClose)
		m.flush()
		m.expectState(stateClosed)
	}, nil},
	{"CloseAfterFlush in the turn in which the dial succeeds", func(m *manualLoop, h *dialCallRecorder) {
		h.onOpen = func() {
			m.expectState(stateFlushing)
			m.conn.Write([]byte("dropped"))
		}
		m.conn.CloseAfterFlush()
		m.runTurnsUntilIdle()
		if got := m.readPeerToEnd(); got != "" {
			m.t.Errorf("the peer received %q, want nothing", got)
		}
	}, []string{"open", "close"}},
	{"connected", func(m *manualLoop, _ *dialCallRecorder) {
		m.runTurn()
		m.expectState(stateOpen)
	}, []string{"open"}},
	{"refused", func(m *manualLoop, _ *dialCallRecorder) {
		m.calls.connectResultError = unix.ECONNREFUSED
	}, []string{"open: ECONNREFUSED"}},
	{"refused, Close before OnOpen", func(m *manualLoop, _ *dialCallRecorder) {
		m.calls.connectResultError = unix.ECONNREFUSED
		m.runTurn()
		m.expectState(stateDialFailed)
		m.conn.Close()
		m.expectState(stateClosed)
	}, nil},
	{"refused, Close in OnOpen", func(m *manualLoop, h *dialCallRecorder) {
		m.calls.connectResultError = unix.ECONNREFUSED
		h.onOpen = func() {
			m.expectState(stateClosed)
			m.conn.Close()
		}
	}, []string{"open: ECONNREFUSED"}},
	{"refused, CloseAfterFlush before OnOpen", func(m *manualLoop, _ *dialCallRecorder) {
		m.calls.connectResultError = unix.ECONNREFUSED
		m.runTurn()
		m.conn.CloseAfterFlush()
		m.expectState(stateDialFailed)
	}, []string{"open: ECONNREFUSED"}},
	{"CloseAfterFlush in the turn in which the dial is refused", func(m *manualLoop, _ *dialCallRecorder) {
		m.calls.connectResultError = unix.ECONNREFUSED
		m.conn.CloseAfterFlush()
	}, []string{"open: ECONNREFUSED"}},
	{"timed out", func(m *manualLoop, _ *dialCallRecorder) {
		m.now += 2 * time.Second
		m.checkDials()
		m.expectState(stateDialFailed)
	}, []string{"open: deadline exceeded"}},
	{"closed by the peer", func(m *manualLoop, _ *dialCallRecorder) {
		m.runTurn()
		m.peerSends("answer", true)
	}, []string{"open", "data answer", "close: EOF"}},
	{"Close", func(m *manualLoop, _ *dialCallRecorder) {
		m.runTurn()
		m.peerSends("answer", true)
		m.conn.Close()
		m.conn.Close()
	}, []string{"open", "close"}},
	{"CloseAfterFlush", func(m *manualLoop, _ *dialCallRecorder) {
		m.runTurn()
		m.conn.Write([]byte("last"))
		m.conn.CloseAfterFlush()
		m.conn.CloseAfterFlush()
		m.conn.Write([]byte("dropped"))
		m.runTurnsUntilIdle()
		if got := m.readPeerToEnd(); got != "last" {
			m.t.Errorf("the peer received %q, want %q", got, "last")
		}
	}, []string{"open", "close"}},
	{"write fails before the answer is read", func(m *manualLoop, _ *dialCallRecorder) {
		m.runTurn()
		m.peerSends("answer", false)
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("request"))
		m.flush()
	}, []string{"open", "data answer", "close: EPIPE"}},
	{"write fails before the answer and the end of input are read", func(m *manualLoop, _ *dialCallRecorder) {
		m.runTurn()
		m.peerSends("answer", true)
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("request"))
		m.flush()
	}, []string{"open", "data answer", "close: EOF"}},
	{"write fails, then CloseAfterFlush", func(m *manualLoop, _ *dialCallRecorder) {
		m.runTurn()
		m.peerSends("answer", false)
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("request"))
		m.flush()
		m.expectState(stateOpen)
		m.conn.CloseAfterFlush()
		m.expectState(stateFlushing)
	}, []string{"open", "close: EPIPE"}},
	{"write fails, then Close", func(m *manualLoop, _ *dialCallRecorder) {
		m.runTurn()
		m.calls.writeError = unix.EPIPE
		m.conn.Write([]byte("request"))
		m.flush()
		m.conn.Close()
	}, []string{"open", "close"}},
}

// Checks the calls that the handler of a dialed connection gets, and their order, for different ways and times of the
// connection's end.
func TestDialedConnectionHandlerCalls(t *testing.T) {
	for _, test := range dialedScenarios {
		t.Run(test.name, func(t *testing.T) {
			m := newManualLoop(t)
			h := &dialCallRecorder{}
			m.startDial(h)
			test.run(m, h)
			m.runTurnsUntilIdle()
			if !slices.Equal(h.calls, test.want) {
				t.Errorf("the handler got the calls %q, want %q", h.calls, test.want)
			}
		})
	}
}
