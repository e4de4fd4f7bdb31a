package eventloop

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"golang.org/x/sys/unix"
)

// startEchoLoop runs a loop whose connections answer with the given number of copies of what they receive. The kernel's
// send buffers are small, so that little data fills them.
func startEchoLoop(t *testing.T, copies int) (*Loop, *echoHandler) {
	t.Helper()
	h := &echoHandler{copies: copies, completeMessages: 1, closed: make(chan error, 1)}
	l := startLoop(t, 10, func(c *Conn) AcceptedHandler {
		if err := unix.SetsockoptInt(c.socket.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, 4<<10); err != nil {
			t.Error(err)
		}
		h.conn = c
		return h
	})
	return l, h
}

// Guards the order and completeness of an answer when the client starts to read late, so that the send buffer fills and
// writes are short.
func TestShortWritesLoseNoData(t *testing.T) {
	l, h := startEchoLoop(t, 3000)
	client := dialLoop(t, l)
	requireNoError(t, client.SetReadBuffer(64<<10))
	text := bytes.Repeat([]byte("0123456789"), 20)
	write(t, client, text)
	// Wait until the loop has written more than the kernel takes.
	for unread := 0; unread == 0; {
		runOnLoop(l, func() { unread = l.UnreadBytes() })
	}
	want := bytes.Repeat(append(bytes.Clone(text), '|'), h.copies)
	got := make([]byte, len(want))
	if _, err := io.ReadFull(client, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("the received bytes differ from those sent; read error: %v", err)
	}
	// Wait until the loop has counted its last write.
	for unread := 1; unread != 0; {
		runOnLoop(l, func() { unread = l.UnreadBytes() })
	}
	if len(h.closed) > 0 { // the unread bytes of a closed connection don't count
		t.Errorf("the connection was closed with %v before all its bytes were counted", <-h.closed)
	}
}

// Guards against memory that a single turn takes: a client that sends many short requests gets as many answers while the
// turn reads them, and each waits in a buffer of its own for the end of the turn. Their order must stay.
func TestAnswersOfATurnDoNotWaitInOneBufferEach(t *testing.T) {
	m := newManualLoop(t)
	m.accept(&echoHandler{completeMessages: 1, closed: make(chan error, 1)})
	const answers = 2000
	var want []byte
	for n := range answers {
		answer := fmt.Appendf(nil, "answer %d;", n)
		want = append(want, answer...)
		m.conn.Write(answer)
		if len(m.conn.pending) >= maxPendingBuffers {
			t.Fatalf("%d buffers are pending, want fewer than %d", len(m.conn.pending), maxPendingBuffers)
		}
	}
	m.runTurn()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(m.peer, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("the client read other bytes than were written, error %v", err)
	}
}
