package eventloop

import (
	"bytes"
	"io"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards the figures about unfinished answers and requests that a router logs while it shuts down. Bytes that a turn
// has queued must count as unread before the turn's flush, and a message that has arrived only in part must be
// reported.
func TestUnreadBytesAndPartialMessagesAreReported(t *testing.T) {
	h := &echoHandler{copies: 1, partialMessage: true, closed: make(chan error, 1)}
	accepted := make(chan struct{})
	l := startLoop(t, 10, func(c *Conn) AcceptedHandler {
		h.conn = c
		close(accepted)
		return h
	})
	client := dialLoop(t, l)
	<-accepted
	queued := 0
	runOnLoop(l, func() {
		before := l.UnreadBytes()
		h.conn.Write([]byte("answer"), nil, []byte("|"))
		queued = l.UnreadBytes() - before
	})
	if queued != 7 {
		t.Errorf("%d bytes count as unread in the turn that queued them, want 7", queued)
	}
	if _, err := io.ReadFull(client, make([]byte, 7)); err != nil {
		t.Fatal(err)
	}
	write(t, client, []byte("half"))
	if _, err := io.ReadFull(client, make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
	hasPartial := false
	runOnLoop(l, func() { hasPartial = l.HasPartialMessages() })
	if !hasPartial {
		t.Error("HasPartialMessages returned false, want true for an open connection with a partial message")
	}
	requireNoError(t, client.Close())
	t.Logf("OnClose got %v", <-h.closed)
	runOnLoop(l, func() { hasPartial = l.HasPartialMessages() })
	if hasPartial {
		t.Error("HasPartialMessages returned true, want false after the connection has closed")
	}
}

// A peer that leaves more than maxConnUnreadBytes unread must be disconnected, with an error as the reason.
func TestPeerThatDoesNotReadIsClosed(t *testing.T) {
	l, h := startEchoLoop(t, 40000)
	client := dialLoop(t, l)
	requireNoError(t, client.SetReadBuffer(4<<10))
	write(t, client, bytes.Repeat([]byte("x"), 200)) // 8 MB of answers
	if err := <-h.closed; err == nil {
		t.Error("OnClose got nil, want an error")
	}
}

// Peers that do not read use up Config.MaxUnreadBytes. They must be closed, and not the client that reads.
func TestReadingClientKeepsConnectionWhenOthersDoNotRead(t *testing.T) {
	const peers, answerSize = 40, 200 << 10
	handlers := make(chan *echoHandler, peers+1)
	l := New(Config{MaxAcceptedConnections: peers + 1, MaxUnreadBytes: 5 * answerSize})
	l.Listen("127.0.0.1:0", func(c *Conn) AcceptedHandler {
		if err := unix.SetsockoptInt(c.socket.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, 4<<10); err != nil {
			t.Error(err)
		}
		h := &echoHandler{conn: c, completeMessages: 1, closed: make(chan error, 1)}
		handlers <- h
		return h
	})
	runLoop(t, l)
	for range peers {
		requireNoError(t, dialLoop(t, l).SetReadBuffer(4<<10))
		h := <-handlers
		runOnLoop(l, func() { h.conn.Write(make([]byte, answerSize)) })
	}
	reader := dialLoop(t, l)
	h := <-handlers
	answer := bytes.Repeat([]byte("a"), 2*answerSize)
	runOnLoop(l, func() { h.conn.Write(answer) })
	got := make([]byte, len(answer))
	if _, err := io.ReadFull(reader, got); err != nil {
		t.Errorf("the client that reads its answer failed: %v", err)
	}
	var closed CloseCounts
	runOnLoop(l, func() { closed = l.CloseCounts() })
	if closed[PeerNotReading] == 0 || len(h.closed) > 0 {
		t.Errorf("%d peers that do not read were closed, want at least 1; %d peers that read were closed, want 0",
			closed[PeerNotReading], len(h.closed))
	}
}
