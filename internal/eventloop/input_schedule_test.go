package eventloop

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// partDuration is how long a busyHandler takes for each piece of data.
const partDuration = time.Millisecond

// busyHandler takes time on a scheduleLoop's clock for each piece of data.
type busyHandler struct {
	requestHandler
	loop  *scheduleLoop
	ended bool
}

func (h *busyHandler) OnData(b []byte) {
	h.received += len(b)
	h.inputTime = h.loop.InputTime()
	h.loop.sinceStart += h.loop.cost(len(b))
}

func (h *busyHandler) OnEndOfInput() { h.ended = true }

// scheduleLoop is a manual loop whose clock advances only while handlers run.
type scheduleLoop struct {
	*manualLoop
	sinceStart time.Duration
	cost       func(bytes int) time.Duration // how long a handler takes for a piece of data
	handlers   []*busyHandler
	afterInput []time.Duration // times of the calls of Config.AfterInput
}

// newScheduleLoop returns a loop that has accepted count connections, and their clients.
func newScheduleLoop(t *testing.T, count int) (*scheduleLoop, []*net.TCPConn) {
	t.Helper()
	m := &scheduleLoop{manualLoop: newManualLoop(t), cost: func(int) time.Duration { return partDuration }}
	m.cfg.MaxAcceptedConnections = 2 * count
	m.cfg.AfterInput = func(now time.Duration) { m.afterInput = append(m.afterInput, now) }
	m.clock.sinceStart = func() time.Duration { return m.sinceStart }
	m.Listen("127.0.0.1:0", func(c *Conn) AcceptedHandler {
		h := &busyHandler{requestHandler: requestHandler{conn: c}, loop: m}
		m.handlers = append(m.handlers, h)
		return h
	})
	m.start()
	var clients []*net.TCPConn
	for range count {
		clients = append(clients, dialLoop(t, m.Loop))
		m.runTurn()
	}
	return m, clients
}

// runNextTurn runs a turn and returns how long it took.
func (m *scheduleLoop) runNextTurn() time.Duration {
	m.now = m.clock.now()
	m.inputTime = m.now
	m.runTurn()
	return m.clock.now() - m.now
}

// Guards against answers that are late because clients send without a pause: a turn lasted for as long as it took to read
// a part of each client, and for longer if clients with much unread input closed their connections.
func TestTurnsAreShortHoweverMuchInputWaits(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"open":        func(*net.TCPConn) error { return nil },
		"half-closed": (*net.TCPConn).CloseWrite,
		"closed":      func(c *net.TCPConn) error { return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			const count = 10
			const size = 8 * clientPartSize
			m, clients := newScheduleLoop(t, count)
			for _, client := range clients {
				write(t, client, make([]byte, size))
				requireNoError(t, end(client))
			}
			received := 0
			for turn := 0; received < count*size; turn++ {
				if took := m.runNextTurn(); took > inputBudget {
					t.Errorf("turn %d took %v, want at most %v", turn, took, inputBudget)
				}
				before := received
				received = 0
				for _, h := range m.handlers {
					received += h.received
					if name != "open" && h.received < size && m.isOpen(h) && h.received > 0 && h.conn.UnseenFor() != never {
						t.Errorf("the input of an ended connection is unseen for %v, want %v until its end is read", h.conn.UnseenFor(), never)
					}
				}
				if received == before {
					t.Fatalf("turn %d read nothing after %d bytes, want %d in all", turn, received, count*size)
				}
			}
		})
	}
}

// isOpen reports whether the connection of h has not ended.
func (m *scheduleLoop) isOpen(h *busyHandler) bool { return !h.ended && !h.conn.state.isClosed() }

// Guards against clients that wait for a turn for each part of others' input: a client that sends little is read in the
// turn in which its input arrives, however many clients send without a pause.
func TestClientsThatSendLittleAreReadFirst(t *testing.T) {
	const busy = 10
	m, clients := newScheduleLoop(t, busy+1)
	m.cost = func(bytes int) time.Duration { return partDuration * time.Duration(bytes) / clientPartSize }
	usual := clients[busy]
	for _, client := range clients[:busy] {
		write(t, client, make([]byte, 16*clientPartSize))
	}
	const partsPerTurn = int(inputBudget / partDuration)
	for message := range 5 {
		for range busy/partsPerTurn + 1 { // reads a part of each busy client
			m.runNextTurn()
		}
		write(t, usual, []byte("r"))
		m.runNextTurn()
		if got := m.handlers[busy].received; got != message+1 {
			t.Fatalf("%d messages of the usual client were read in the turns in which they arrived, want %d", got, message+1)
		}
	}
	least := 16 * clientPartSize
	most := 0
	for _, h := range m.handlers[:busy] {
		least = min(least, h.received)
		most = max(most, h.received)
	}
	if least == 0 || most-least > clientPartSize {
		t.Errorf("%d bytes read of one busy client and %d of another, want at most a part more", most, least)
	}
}

// Guards against turns that go on with the same clients until their time is used up, while workers and timers wait: a turn
// reads a few parts of each.
func TestTurnEndsEarlyIfInputIsCheap(t *testing.T) {
	m, clients := newScheduleLoop(t, 2)
	m.cost = func(int) time.Duration { return 0 }
	for _, client := range clients {
		write(t, client, make([]byte, 2*maxPartsPerTurn*clientPartSize))
	}
	m.runNextTurn()
	for i, h := range m.handlers {
		if h.received != maxPartsPerTurn*clientPartSize {
			t.Errorf("client %d: %d bytes read in a turn, want %d", i, h.received, maxPartsPerTurn*clientPartSize)
		}
	}
}

// Guards against timers that wait until the end of a turn: AfterInput is called after each part of the input.
func TestAfterInputIsCalledForEachPart(t *testing.T) {
	m, clients := newScheduleLoop(t, 1)
	m.afterInput = nil
	write(t, clients[0], make([]byte, 3*clientPartSize-1))
	start := m.clock.now()
	m.runNextTurn()
	for i, at := range m.afterInput { // the first call is made before the first part
		if want := start + time.Duration(i)*partDuration; at != want {
			t.Errorf("call %d at %v, want %v", i, at, want)
		}
	}
	if len(m.afterInput) != 4 {
		t.Errorf("%d calls, want 4", len(m.afterInput))
	}
}

// Guards against a usual client that is not read for a second because it was charged for work that is not its own: what was
// due when the turn began, and pauses of the process while its input was handled.
func TestClientIsChargedForItsOwnInputOnly(t *testing.T) {
	const pause = 20 * time.Millisecond
	m, clients := newScheduleLoop(t, 1)
	due := pause
	m.cfg.AfterInput = func(time.Duration) {
		m.sinceStart += due
		due = 0
	}
	m.cost = func(int) time.Duration { return pause }
	write(t, clients[0], []byte("r"))
	before := m.handlers[0].conn.inputTag
	m.runNextTurn()
	if charged := m.handlers[0].conn.inputTag - before; charged != maxPartCharge {
		t.Errorf("%v charged to the client, want %v", charged, maxPartCharge)
	}
}

// Guards against deadlines that are later than the client's: input that a turn does not read has waited since the poll
// that reported it.
func TestInputTimeOfConnectionsThatWaitForALaterTurn(t *testing.T) {
	const count = 2 * int(inputBudget/partDuration)
	m, clients := newScheduleLoop(t, count)
	for _, client := range clients {
		write(t, client, []byte("r"))
	}
	reportedAt := m.clock.now()
	m.runNextTurn()
	m.runNextTurn()
	for i, h := range m.handlers {
		if h.received != 1 || h.inputTime != reportedAt {
			t.Errorf("client %d: %d messages read, want 1; input time %v, want %v", i, h.received, h.inputTime, reportedAt)
		}
	}
}

// Guards against turns that are long because writes to many clients have failed at once: closing their connections ends
// their requests.
func TestClosingFailedClientsIsLimitedInTime(t *testing.T) {
	const count = 3 * int(inputBudget/partDuration)
	m, clients := newScheduleLoop(t, count)
	for i, h := range m.handlers {
		write(t, clients[i], []byte("r"))
		h.conn.failWrite(unix.EPIPE)
	}
	for turn := 0; len(m.accepted) > 0; turn++ {
		before := len(m.accepted)
		if took := m.runNextTurn(); took > inputBudget {
			t.Errorf("turn %d took %v, want at most %v", turn, took, inputBudget)
		}
		if len(m.accepted) == before {
			t.Fatalf("turn %d closed none of %d connections", turn, before)
		}
		if len(m.accepted) > 0 && m.timeUntil(m.clock.now()+time.Hour) != 0 {
			t.Error("the next turn does not begin at once")
		}
	}
}

// Guards against turns that are long because many new connections have sent much.
func TestAcceptingIsLimitedInTime(t *testing.T) {
	const count = 20
	m, _ := newScheduleLoop(t, 1)
	m.cfg.MaxAcceptedConnections = 2 * count
	for range count {
		write(t, dialLoop(t, m.Loop), make([]byte, clientReadSize))
	}
	for turn := 0; len(m.handlers) < count+1; turn++ {
		before := len(m.handlers)
		if took := m.runNextTurn(); took > acceptBudget+inputBudget {
			t.Errorf("turn %d took %v, want at most %v", turn, took, acceptBudget+inputBudget)
		}
		if len(m.handlers) == before {
			t.Fatalf("turn %d accepted nothing", turn)
		}
	}
}
