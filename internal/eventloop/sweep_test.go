package eventloop

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards the timeouts of accepted connections. Only complete messages extend the time that a client has for its
// message, not single bytes that arrive slowly. A client that has sent a complete message may keep its connection for
// longer.
func TestAcceptedConnectionsTimeOut(t *testing.T) {
	for _, c := range []struct {
		name string
		// receive sets the state of h for the time that has passed since the accept (at), and reports whether data
		// arrives then.
		receive func(h *echoHandler, at time.Duration) bool
		want    time.Duration // time since the accept at which the connection is closed
	}{
		{"silent", func(*echoHandler, time.Duration) bool { return false }, messageTimeout},
		{"incomplete message that keeps growing", func(h *echoHandler, _ time.Duration) bool {
			h.partialMessage = true
			return true
		}, messageTimeout},
		{"idle after a message", func(h *echoHandler, at time.Duration) bool {
			h.completeMessages = 1
			return at == 0
		}, idleTimeout},
		{"part of a second message", func(h *echoHandler, at time.Duration) bool {
			h.completeMessages = 1
			h.partialMessage = at >= 5*time.Second
			return at == 0 || h.partialMessage
		}, 5*time.Second + messageTimeout},
		{"a complete message at each step", func(h *echoHandler, _ time.Duration) bool {
			h.completeMessages++
			return true
		}, time.Minute},
		{"open request", func(h *echoHandler, at time.Duration) bool {
			h.openRequests = at < 20*time.Second
			return false
		}, 20 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			const step = 100 * time.Millisecond
			closedAt := simulateUntilClosed(step, time.Minute, c.receive)
			if closedAt < c.want || closedAt > c.want+2*step {
				t.Errorf("closed after %v, want %v or up to two steps later", closedAt, c.want)
			}
		})
	}
}

// simulateUntilClosed simulates an accepted connection in steps of time. It returns the time since the accept at which
// the loop closed the connection, or maxDuration if the loop did not.
func simulateUntilClosed(
	step, maxDuration time.Duration, receive func(h *echoHandler, at time.Duration) bool,
) time.Duration {
	l := New(Config{})
	l.calls = &scriptedCalls{noInput: true}
	h := &echoHandler{}
	conn := newAcceptedConn(l, h)
	conn.activity.lastActivity = l.now
	start := l.now
	for at := time.Duration(0); at < maxDuration; at += step {
		l.now = start + at
		if receive(h, at) {
			conn.handleData(nil)
		}
		l.sweep()
		if conn.state == stateClosed {
			return at
		}
	}
	return maxDuration
}

// lengthHandler receives messages of a fixed length, each of which it answers at once.
type lengthHandler struct {
	requestHandler
	length int
}

func (h *lengthHandler) MessageProgress() (int, bool) {
	return h.received / h.length, h.received%h.length > 0
}

// Guards against requests that are lost with their connection: the rest of a message has arrived, but waits unread when
// the timeout of the message has passed, because the machine paused the process.
func TestConnectionWithUnreadRestOfMessageIsNotTimedOut(t *testing.T) {
	m := newManualLoop(t)
	var sinceStart time.Duration
	m.clock.sinceStart = func() time.Duration { return sinceStart }
	h := &lengthHandler{length: clientReadSize + 2}
	h.onData = func() { sinceStart += inputBudget } // a turn reads one part
	m.accept(h)
	h.conn = m.conn
	m.peerSends("x", false)
	m.runTurn()
	m.now += messageTimeout + time.Second
	m.peerSends(string(make([]byte, h.length-1)), false)
	m.runTurn() // reads a part of the rest, and sweeps
	m.expectState(stateOpen)
	if h.received != h.length || len(m.deferred) == 0 {
		t.Errorf("%d bytes received, want %d; calls deferred to the next turn: %d, want some, so that it begins at once",
			h.received, h.length, len(m.deferred))
	}
}

// Guards against the same loss when the rest of the message can't be read at once, because the kernel lacks memory.
func TestConnectionThatCannotBeReadIsNotTimedOut(t *testing.T) {
	m := newManualLoop(t)
	h := &lengthHandler{length: 2}
	m.accept(h)
	h.conn = m.conn
	m.peerSends("x", false)
	m.runTurn()
	m.now += messageTimeout + time.Second
	m.peerSends("x", false)
	m.calls.readErrors = []error{unix.ENOMEM, unix.ENOBUFS} // of the turn and of its sweep
	m.runTurn()
	m.expectState(stateOpen)
	m.runTurn()
	m.expectState(stateOpen)
	if h.received != h.length {
		t.Errorf("%d bytes received, want %d", h.received, h.length)
	}
}
