package eventloop

import (
	"bytes"
	"io"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards the last answers of a program that shuts down: what a turn has queued counts as unread before the
// turn's flush, and a message of which only the beginning has arrived is reported.
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
		t.Errorf("%d bytes of 7 count as unread in the turn that queued them", queued)
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
		t.Error("the partial message is not reported")
	}
	check(t, client.Close())
	t.Logf("closed with %v", <-h.closed)
	runOnLoop(l, func() { hasPartial = l.HasPartialMessages() })
	if hasPartial {
		t.Error("the partial message of a closed connection counts")
	}
}

func TestPeerThatDoesNotReadIsClosed(t *testing.T) {
	l, h := startEchoLoop(t, 40000)
	client := dialLoop(t, l)
	check(t, client.SetReadBuffer(4<<10))
	write(t, client, bytes.Repeat([]byte("x"), 200)) // 8 MB of answers
	if err := <-h.closed; err == nil {
		t.Error("closed without a reason")
	}
}

// Peers that do not read use up what all together may leave unread. They are closed, and not the client that reads.
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
		check(t, dialLoop(t, l).SetReadBuffer(4<<10))
		h := <-handlers
		runOnLoop(l, func() { h.conn.Write(make([]byte, answerSize)) })
	}
	reader := dialLoop(t, l)
	h := <-handlers
	answer := bytes.Repeat([]byte("a"), 2*answerSize)
	runOnLoop(l, func() { h.conn.Write(answer) })
	got := make([]byte, len(answer))
	if _, err := io.ReadFull(reader, got); err != nil {
		t.Errorf("the client that reads: %v", err)
	}
	var closed CloseCounts
	runOnLoop(l, func() { closed = l.CloseCounts() })
	if closed[PeerNotReading] == 0 || len(h.closed) > 0 {
		t.Errorf("%d peers that do not read were closed, of those that read %d", closed[PeerNotReading], len(h.closed))
	}
}
