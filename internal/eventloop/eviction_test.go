package eventloop

import (
	"errors"
	"io"
	"testing"
)

// Guards the order of eviction. Hundreds of connections that stay silent must not displace clients with requests, so
// silent connections are evicted first, the oldest before the others. A new connection may have its request on the way,
// one that has sent part of a request may have the rest on the way, and one that has just been answered may have its next
// request on the way: these are evicted last. A connection with an
// open request, or with a pending or unread answer, is not evicted, because its client would lose the answer.
func TestSilentConnectionsAreEvictedFirst(t *testing.T) {
	l := New(Config{})
	now := l.now
	add := func(openRequests bool, activity messageActivity) *Conn {
		h := &echoHandler{openRequests: openRequests}
		c := newAcceptedConn(l, h)
		c.activity = activity
		return c
	}
	evictable := []struct {
		name string
		conn *Conn
	}{
		{"silent for long", add(false, messageActivity{lastActivity: now - 2*firstMessageGracePeriod})},
		{"silent", add(false, messageActivity{lastActivity: now - firstMessageGracePeriod - 1})},
		{"idle for long", add(false, messageActivity{
			completeMessages: 1, lastActivity: now - 1000*firstMessageGracePeriod,
		})},
		{"idle", add(false, messageActivity{completeMessages: 3, lastActivity: now - nextRequestPeriod - 1})},
		{"second message begun", add(false, messageActivity{
			completeMessages: 1, lastActivity: now - 9*firstMessageGracePeriod, partialSince: now,
		})},
		{"first message begun", add(false, messageActivity{
			lastActivity: now - 2*firstMessageGracePeriod, partialSince: now,
		})},
		{"new", add(false, messageActivity{lastActivity: now - firstMessageGracePeriod})},
		{"just answered", add(false, messageActivity{completeMessages: 3, lastActivity: now - nextRequestPeriod})},
		{"newest", add(false, messageActivity{lastActivity: now})},
	}
	openRequests := add(true, messageActivity{})
	pendingAnswer := add(false, messageActivity{completeMessages: 1})
	pendingAnswer.Write([]byte("answer"))
	unreadAnswer := add(false, messageActivity{completeMessages: 1})
	unreadAnswer.setUnsent([]byte("a"))

	for _, c := range evictable {
		if !l.evict(anyConnection) || c.conn.state != stateClosed {
			t.Fatalf("the connection %q is in the state %v after the next eviction, want %v",
				c.name, c.conn.state, stateClosed)
		}
	}
	if l.evict(anyConnection) || openRequests.state != stateOpen || pendingAnswer.state != stateOpen || unreadAnswer.state != stateOpen {
		t.Errorf("evict closed a connection or returned true; states of the connections with an open request: %v, "+
			"a pending answer: %v, an unread answer: %v; want false and %v for all",
			openRequests.state, pendingAnswer.state, unreadAnswer.state, stateOpen)
	}
	if pendingAnswer.activity.lastActivity != now {
		t.Errorf("the last activity after writing an answer is %v, want %v", pendingAnswer.activity.lastActivity, now)
	}
}

// Guards a connection whose request has arrived but has not been read yet: another connection is evicted instead.
func TestConnectionWithUnreadInputIsNotEvicted(t *testing.T) {
	handlers := make(chan *echoHandler, 3)
	l := startLoop(t, 2, func(c *Conn) AcceptedHandler {
		h := &echoHandler{conn: c, copies: 1, completeMessages: 1, closed: make(chan error, 1)}
		handlers <- h
		return h
	})
	first, second := dialLoop(t, l), dialLoop(t, l)
	<-handlers
	<-handlers
	runOnLoop(l, func() { // the loop reads nothing while this function runs
		if _, err := first.Write([]byte("request")); err != nil {
			t.Error(err)
		}
		if !l.evict(anyConnection) {
			t.Error("evict returned false, want true: the second connection has no input")
		}
	})
	got := make([]byte, len("request|"))
	if _, err := io.ReadFull(first, got); err != nil || string(got) != "request|" {
		t.Errorf("the client with a request read %q, error %v; want %q", got, err, "request|")
	}
	if _, err := second.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the idle client: got %v, want EOF", err)
	}
}
