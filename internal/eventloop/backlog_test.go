package eventloop

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// requestHandler answers each message at once and has no open requests. Messages are single bytes.
type requestHandler struct {
	conn      *Conn
	received  int
	onData    func()        // if not nil, called for each piece of data
	inputTime time.Duration // InputTime when the latest message was received
	busy      bool          // whether a request is open, although the answers are written at once
}

func (h *requestHandler) OnData(b []byte) {
	h.received += len(b)
	h.inputTime = h.conn.loop.InputTime()
	if h.onData != nil {
		h.onData()
	}
	h.conn.Write([]byte("answer"))
}
func (h *requestHandler) OnClose(error)                {}
func (h *requestHandler) OnEndOfInput()                {}
func (h *requestHandler) HasOpenRequests() bool        { return h.busy }
func (h *requestHandler) MessageProgress() (int, bool) { return h.received, false }

// newBacklogLoop returns a manual loop with the given limit on accepted connections, and a function that returns the
// handlers of the connections that it has accepted.
func newBacklogLoop(t *testing.T, limit int, busy bool) (*manualLoop, func() []*requestHandler) {
	t.Helper()
	m := newManualLoop(t)
	m.cfg.MaxAcceptedConnections = limit
	var handlers []*requestHandler
	m.Listen("127.0.0.1:0", func(c *Conn) AcceptedHandler {
		handlers = append(handlers, &requestHandler{conn: c, busy: busy})
		return handlers[len(handlers)-1]
	})
	m.start()
	return m, func() []*requestHandler { return handlers }
}

// dialWithRequest returns a client that has sent a request.
func dialWithRequest(t *testing.T, m *manualLoop) net.Conn {
	t.Helper()
	client := dialLoop(t, m.Loop)
	write(t, client, []byte("r"))
	return client
}

// readAnswer reports whether the client receives an answer before its connection ends.
func readAnswer(t *testing.T, client net.Conn) bool {
	t.Helper()
	_, err := io.ReadFull(client, make([]byte, len("answer")))
	return err == nil
}

// Guards against requests that are lost with their connection: connections that bad clients had closed already, but that
// had not been read, counted as open, and at the limit new connections were closed unread.
func TestClosedConnectionsInTheBacklogTakeNoCapacity(t *testing.T) {
	m, handlers := newBacklogLoop(t, 2, false)
	const closedClients = 20
	for range closedClients {
		requireNoError(t, dialWithRequest(t, m).Close())
	}
	usual := dialWithRequest(t, m)
	m.runTurnsUntilIdle()
	if !readAnswer(t, usual) {
		t.Error("the client behind the closed connections got no answer")
	}
	if accepted := len(handlers()); accepted != closedClients+1 || m.CloseCounts()[OverLimit] != 0 {
		t.Errorf("%d connections accepted, want %d; %d closed unread, want 0", accepted, closedClients+1, m.CloseCounts()[OverLimit])
	}
}

// Guards against requests that are lost at the limit on connections when all of them have open requests: a new connection
// must wait in the backlog until one closes, and its request must then be answered.
func TestConnectionsWithRequestsWaitForCapacity(t *testing.T) {
	const limit = 2
	m, handlers := newBacklogLoop(t, limit, true)
	var clients []net.Conn
	for range limit + maxConnectionsOverLimit + 3 {
		clients = append(clients, dialWithRequest(t, m))
	}
	m.runTurnsUntilIdle()
	if got := len(handlers()); got != limit+maxConnectionsOverLimit || !m.HasBacklog() {
		t.Fatalf("%d connections accepted, want %d; backlog: %v, want true", got, limit+maxConnectionsOverLimit, m.HasBacklog())
	}
	for m.HasBacklog() {
		for c := range m.accepted {
			c.Close() // a client leaves
			break
		}
		m.now += capacityPause
		m.resumeAccepting()
		m.runTurnsUntilIdle()
		m.resumeAccepting()
	}
	if got := len(handlers()); got != len(clients) || m.CloseCounts()[OverLimit] != 0 {
		t.Errorf("%d connections accepted, want %d; %d closed unread, want 0", got, len(clients), m.CloseCounts()[OverLimit])
	}
	for i, client := range clients {
		if !readAnswer(t, client) {
			t.Errorf("client %d got no answer", i)
		}
	}
}

// Guards against connections without requests that exceed the limit: they are closed at once.
func TestSilentConnectionsOverTheLimitAreClosed(t *testing.T) {
	m, handlers := newBacklogLoop(t, 1, true)
	dialWithRequest(t, m)
	m.runTurnsUntilIdle()
	silent := dialLoop(t, m.Loop)
	m.runTurnsUntilIdle()
	if _, err := silent.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, unix.ECONNRESET) {
		t.Errorf("the silent client read error %v, want EOF or ECONNRESET", err)
	}
	if got := len(handlers()); got != 1 || m.CloseCounts()[OverLimit] != 1 {
		t.Errorf("%d connections accepted, want 1; %d closed over the limit, want 1", got, m.CloseCounts()[OverLimit])
	}
}

// Guards against deadlines that are later than the client's: a request that waits in the backlog with its connection has
// less time left than its client gave it when it was sent.
func TestInputTimeIncludesTheWaitInTheBacklog(t *testing.T) {
	for _, test := range []struct {
		name       string
		age        time.Duration
		ageUnknown bool
		want       time.Duration // before the turn's time
	}{
		{"age of the connection", 300 * time.Millisecond, false, 300 * time.Millisecond},
		{"age before the backlog was last empty", time.Hour, false, time.Second},
		{"unknown age", 0, true, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			m, handlers := newBacklogLoop(t, 1000, false)
			m.calls.age = test.age
			if test.ageUnknown {
				m.calls.ageError = unix.ENOPROTOOPT
			}
			for range maxAcceptsPerTurn + 1 {
				dialWithRequest(t, m)
			}
			m.inputTime = m.now
			m.runTurn()
			m.now += time.Second
			m.inputTime = m.now
			m.runTurn()
			accepted := handlers()
			if first := accepted[0].inputTime; first != m.now-time.Second {
				t.Errorf("input time of the first connection, which did not wait: %v, want %v", first, m.now-time.Second)
			}
			if last := accepted[maxAcceptsPerTurn]; last.inputTime != m.now-test.want || m.InputTime() != m.now {
				t.Errorf("input time of the connection that waited: %v, want %v; afterwards: %v, want %v",
					last.inputTime, m.now-test.want, m.InputTime(), m.now)
			}
		})
	}
}

// Guards the value that the kernel reports as the age of a connection.
func TestConnectionAge(t *testing.T) {
	m, _ := newBacklogLoop(t, 10, false)
	dialLoop(t, m.Loop)
	const wait = 100 * time.Millisecond
	start := time.Now()
	time.Sleep(wait)
	fd, _, err := m.calls.accept(m.listeners[0].socket.fd)
	requireNoError(t, err)
	defer closeDescriptor(fd)
	age, err := kernelCalls{}.connectionAge(fd)
	requireNoError(t, err)
	const kernelTick = 20 * time.Millisecond
	if longest := time.Since(start) + kernelTick; age < wait-kernelTick || age > longest {
		t.Errorf("the age is %v, want about %v, at most %v", age, wait, longest)
	}
}

// Guards against turns that last for seconds because clients send at full speed, and against deadlines that are later
// than the client's: input that is left for a later turn has arrived as early as that before it.
func TestInputIsReadInParts(t *testing.T) {
	m, handlers := newBacklogLoop(t, 10, false)
	var sinceStart time.Duration
	m.clock.sinceStart = func() time.Duration { return sinceStart }
	client := dialLoop(t, m.Loop)
	m.runTurn() // accepts the connection
	handler := handlers()[0]
	handler.onData = func() { sinceStart += inputBudget / 2 } // a turn reads two parts
	runTurnAt := func(now time.Duration) {
		m.now, m.inputTime = now, now
		m.runTurn()
	}
	write(t, client, make([]byte, 4*clientPartSize+1))
	start := m.now
	for turn, wantReceived := range []int{2 * clientPartSize, 4 * clientPartSize, 4*clientPartSize + 1} {
		runTurnAt(start + time.Duration(turn+1)*time.Second)
		if handler.received != wantReceived || handler.inputTime != start+time.Second {
			t.Errorf("turn %d: %d bytes received, want %d; input time %v, want %v",
				turn, handler.received, wantReceived, handler.inputTime, start+time.Second)
		}
	}
	write(t, client, []byte("r"))
	runTurnAt(start + time.Minute)
	if handler.inputTime != start+time.Minute || m.InputTime() != start+time.Minute {
		t.Errorf("input time %v for input of a later turn, %v afterwards, want %v", handler.inputTime, m.InputTime(), start+time.Minute)
	}
}

// Guards against requests that are lost with a connection that can't be registered with the poller, for lack of memory or
// because of the limit on watches: they must be answered before the connection is closed.
func TestConnectionThatCannotBePolledIsAnswered(t *testing.T) {
	m, handlers := newBacklogLoop(t, 10, false)
	client := dialWithRequest(t, m)
	fd, peer, err := m.calls.accept(m.listeners[0].socket.fd)
	requireNoError(t, err)
	epollFD := m.poll.epollFD
	m.poll.epollFD = noDescriptor // every registration fails
	m.admit(m.listeners[0], fd, addrPortOf(peer), m.now)
	m.poll.epollFD = epollFD
	m.runTurnsUntilIdle()
	if got := len(handlers()); got != 1 || !readAnswer(t, client) || m.CloseCounts()[OverLimit] != 1 || m.AcceptedConnections() != 0 {
		t.Errorf("%d connections accepted, want 1 with an answer; %d closed over the limit, want 1; %d open, want 0",
			got, m.CloseCounts()[OverLimit], m.AcceptedConnections())
	}
}
