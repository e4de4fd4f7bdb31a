package eventloop

import (
	"errors"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// withdrawalHandler counts the bytes that it receives, and records the end of the input and of the connection.
type withdrawalHandler struct {
	received   int
	inputEnded bool
	closed     bool
	onData     func() // if not nil, called for each piece of data
}

func (h *withdrawalHandler) OnData(b []byte) {
	h.received += len(b)
	if h.onData != nil {
		h.onData()
	}
}
func (h *withdrawalHandler) OnClose(error)                { h.closed = true }
func (h *withdrawalHandler) OnEndOfInput()                { h.inputEnded = true }
func (h *withdrawalHandler) HasOpenRequests() bool        { return false }
func (h *withdrawalHandler) MessageProgress() (int, bool) { return 1, false }

// unseenLoop is a manual loop with an accepted connection and a clock that only the test advances.
type unseenLoop struct {
	*manualLoop
	sinceStart time.Duration
}

// newUnseenLoop returns a loop and the handler of its connection.
func newUnseenLoop(t *testing.T) (*unseenLoop, *withdrawalHandler) {
	t.Helper()
	m := &unseenLoop{manualLoop: newManualLoop(t)}
	m.clock.sinceStart = func() time.Duration { return m.sinceStart }
	h := &withdrawalHandler{}
	m.accept(h)
	return m, h
}

// turnInterval is the time between the turns of an unseenLoop.
const turnInterval = time.Millisecond

// runNextTurn advances the clock and runs a turn.
func (m *unseenLoop) runNextTurn() {
	m.sinceStart += turnInterval
	m.now = m.clock.now()
	m.inputTime = m.now
	m.runTurn()
}

// Guards against acting on input while a later withdrawal or the end of the connection waits behind it: a turn reads a
// part of the input, and CatchUp must read all that has arrived, however the client ends.
func TestCatchUpReadsAllThatHasArrived(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, client *net.TCPConn){
		"open": func(*testing.T, *net.TCPConn) {},
		"closed": func(t *testing.T, client *net.TCPConn) {
			t.Helper()
			requireNoError(t, client.Close())
		},
		"half-closed": func(t *testing.T, client *net.TCPConn) {
			t.Helper()
			requireNoError(t, client.CloseWrite())
		},
		"reset": func(t *testing.T, client *net.TCPConn) {
			t.Helper()
			requireNoError(t, errors.Join(client.SetLinger(0), client.Close()))
		},
	} {
		t.Run(name, func(t *testing.T) {
			const size = 2*clientReadSize + 1
			m, h := newUnseenLoop(t)
			h.onData = func() { m.sinceStart += inputBudget } // so that the turn reads one part
			m.peerSends(string(make([]byte, size)), false)
			m.runNextTurn()
			if h.received != clientPartSize || m.conn.UnseenFor() == 0 {
				t.Fatalf("%d bytes received in a turn, want %d; input unseen for %v, want more than 0",
					h.received, clientPartSize, m.conn.UnseenFor())
			}
			h.onData = nil
			end(t, m.peer.(*net.TCPConn)) // after the poll of this turn
			m.conn.CatchUp()
			wantEnd := name != "open"
			if h.received != size || (h.inputEnded || h.closed) != wantEnd {
				t.Errorf("%d bytes received, want %d; end of the input seen: %v, of the connection: %v, want one: %v",
					h.received, size, h.inputEnded, h.closed, wantEnd)
			}
			if unseen := m.conn.UnseenFor(); !wantEnd && unseen != 0 {
				t.Errorf("input unseen for %v, want 0", unseen)
			}
		})
	}
}

// Guards against clients at full speed that make a turn last for seconds: CatchUp reads for a limited time in each turn,
// and the rest counts as unseen since the last poll before it arrived. Others must not have to wait for that: input of
// which nothing is known is read beyond the limit.
func TestCatchUpIsLimited(t *testing.T) {
	m, h := newUnseenLoop(t)
	m.runNextTurn()
	const size = clientPartSize + clientReadSize + clientPartSize + 1
	m.peerSends(string(make([]byte, size)), false)
	h.onData = func() { m.sinceStart += inputBudget } // so that the turn reads one part
	m.runNextTurn()
	h.onData = nil
	m.catchUpTime = catchUpBudget // other connections have used the turn's time
	m.conn.CatchUp()
	if unseen := m.conn.UnseenFor(); h.received != clientPartSize || unseen != turnInterval+inputBudget {
		t.Errorf("%d bytes received, want %d; unseen for %v, want %v", h.received, clientPartSize, unseen, turnInterval+inputBudget)
	}
	m.catchUpTime = 0
	h.onData = func() { m.sinceStart += catchUpBudget }
	m.conn.CatchUp()
	if h.received != clientPartSize+clientReadSize || m.catchUpTime != catchUpBudget {
		t.Errorf("%d bytes received, want %d; %v spent, want %v", h.received, clientPartSize+clientReadSize, m.catchUpTime, catchUpBudget)
	}
	h.onData = nil
	m.runNextTurn()
	if unseen := m.conn.UnseenFor(); h.received != size || unseen != 0 {
		t.Errorf("after the next turn %d bytes received, want %d; unseen for %v, want 0", h.received, size, unseen)
	}
	m.sinceStart += 2 * recentPollAge
	m.catchUpTime = catchUpBudget
	m.peerSends("withdrawal", false)
	m.conn.CatchUp()
	if unseen := m.conn.UnseenFor(); h.received != size+len("withdrawal") || unseen != 0 {
		t.Errorf("beyond the limit %d bytes received, want more; unseen for %v, want 0", h.received, unseen)
	}
	m.sinceStart += 2 * recentPollAge
	m.catchUpTime = 2 * catchUpBudget
	m.peerSends("withdrawal", false)
	m.conn.CatchUp()
	if unseen := m.conn.UnseenFor(); h.received != size+len("withdrawal") || unseen != 2*recentPollAge {
		t.Errorf("beyond twice the limit %d bytes received, want %d; unseen for %v, want %v",
			h.received, size+len("withdrawal"), unseen, 2*recentPollAge)
	}
}

// Guards against a poll that shows nothing: after a pause of the process, after signals that interrupt the poll, and if
// there are more events than one poll reports, a connection without known input may have some.
func TestOldOrIncompletePollShowsNothing(t *testing.T) {
	for name, incomplete := range map[string]bool{"old": false, "incomplete": true} {
		t.Run(name, func(t *testing.T) {
			const pause = 2 * recentPollAge
			m, h := newUnseenLoop(t)
			m.runNextTurn()
			m.sinceStart += pause
			if incomplete {
				m.now = m.clock.now()
				m.recordPoll(false)
			}
			m.peerSends("withdrawal", false)
			if unseen := m.conn.UnseenFor(); unseen != pause {
				t.Errorf("input unseen for %v, want %v", unseen, pause)
			}
			m.conn.CatchUp()
			if unseen := m.conn.UnseenFor(); h.received == 0 || unseen != 0 {
				t.Errorf("%d bytes received, want some; input unseen for %v, want 0", h.received, unseen)
			}
		})
	}
}

// Guards against input that counts as read although the read has failed for lack of the kernel's memory.
func TestFailedReadLeavesInputUnseen(t *testing.T) {
	m, h := newUnseenLoop(t)
	m.peerSends("request", false)
	m.calls.readErrors = []error{unix.ENOBUFS, unix.ENOMEM}
	m.runNextTurn()
	m.conn.CatchUp()
	if h.received != 0 || m.conn.UnseenFor() == 0 {
		t.Fatalf("%d bytes received, want 0; input unseen for %v, want more than 0", h.received, m.conn.UnseenFor())
	}
	m.conn.CatchUp()
	if h.received == 0 || m.conn.UnseenFor() != 0 {
		t.Errorf("%d bytes received, want some; input unseen for %v, want 0", h.received, m.conn.UnseenFor())
	}
}

// Guards against an attempt for a client whose connection has failed, before its handler has been told.
func TestFailedConnectionIsUnseen(t *testing.T) {
	m, _ := newUnseenLoop(t)
	m.conn.failWrite(unix.EPIPE)
	if unseen := m.conn.UnseenFor(); unseen != never {
		t.Errorf("input unseen for %v, want %v", unseen, never)
	}
}
