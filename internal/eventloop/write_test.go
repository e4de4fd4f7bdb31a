package eventloop

import (
	"bytes"
	"io"
	"testing"

	"golang.org/x/sys/unix"
)

// startEchoLoop runs a loop whose connections answer with so many copies of what they receive, through a small
// kernel buffer, so that little is needed to fill it.
func startEchoLoop(t *testing.T, copies int) (*Loop, *echoHandler) {
	t.Helper()
	h := &echoHandler{times: copies, completeMessages: 1, closed: make(chan error, 1)}
	l := startLoop(t, 10, func(c *Conn) AcceptedHandler {
		if err := unix.SetsockoptInt(c.socket.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, 4<<10); err != nil {
			t.Error(err)
		}
		h.conn = c
		return h
	})
	return l, h
}

// A reader that starts late, so that the socket fills and writes fall short, still gets every byte in order.
func TestShortWritesLoseNothing(t *testing.T) {
	l, h := startEchoLoop(t, 3000)
	client := dialLoop(t, l)
	check(t, client.SetReadBuffer(64<<10))
	text := bytes.Repeat([]byte("0123456789"), 20)
	write(t, client, text)
	// Until the loop has written, and more than the kernel takes.
	for unread := 0; unread == 0; {
		call(l, func() { unread = l.UnreadBytes() })
	}
	want := bytes.Repeat(append(bytes.Clone(text), '|'), h.times)
	got := make([]byte, len(want))
	if _, err := io.ReadFull(client, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("the bytes differ; read error: %v", err)
	}
	// The loop may still have to count its last write.
	for unread := 1; unread != 0; {
		call(l, func() { unread = l.UnreadBytes() })
	}
	if len(h.closed) > 0 { // the unread bytes of a closed connection don't count
		t.Errorf("the connection was closed with %v before all its bytes were counted", <-h.closed)
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
func TestReaderIsServedBesidePeersThatDoNotRead(t *testing.T) {
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
		call(l, func() { h.conn.Write(make([]byte, answerSize)) })
	}
	reader := dialLoop(t, l)
	h := <-handlers
	answer := bytes.Repeat([]byte("a"), 2*answerSize)
	call(l, func() { h.conn.Write(answer) })
	got := make([]byte, len(answer))
	if _, err := io.ReadFull(reader, got); err != nil {
		t.Errorf("the client that reads: %v", err)
	}
	var closed CloseCounts
	call(l, func() { closed = l.Closed })
	if closed[PeerNotReading] == 0 || len(h.closed) > 0 {
		t.Errorf("%d peers that do not read were closed, of those that read %d", closed[PeerNotReading], len(h.closed))
	}
}
