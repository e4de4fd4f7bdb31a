package eventloop

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against bytes that a peer receives long after the connection was closed: while a peer does not read, the kernel
// must take a bounded part of what is written, and Close must drop it.
func TestBytesThatThePeerDoesNotTakeAreDropped(t *testing.T) {
	m := newDialedLoop(t)
	written := 0
	for m.conn.Unsent() == 0 {
		const call = 16 << 10
		m.conn.Write(make([]byte, call))
		written += call
	}
	inPeer := unreadBytes(t, m.peer)
	const kernelOverhead = 4 // the kernel doubles the size of the buffer, and exceeds it by one write
	if queued := m.conn.sendQueue(); queued == 0 || queued > kernelOverhead*sendBufferSize {
		t.Errorf("%d bytes in the send queue, want some, at most %d", queued, kernelOverhead*sendBufferSize)
	}
	if got := m.conn.Undelivered(); got < written-inPeer || got > written {
		t.Errorf("%d bytes undelivered, want at least %d of the %d written", got, written-inPeer, written)
	}
	m.conn.Close()
	received, err := io.ReadAll(m.peer)
	if !errors.Is(err, syscall.ECONNRESET) || len(received) > inPeer {
		t.Errorf("the peer received %d bytes and error %v, want at most the %d that it had got, and ECONNRESET",
			len(received), err, inPeer)
	}
}

// dialedHandler handles a dialed connection whose peer sends nothing.
type dialedHandler struct{ opened chan error }

func (h *dialedHandler) OnOpen(err error) { h.opened <- err }
func (h *dialedHandler) OnData([]byte)    {}
func (h *dialedHandler) OnClose(error)    {}

// newDialedLoop returns a manual loop whose connection under test was dialed and is open.
func newDialedLoop(t *testing.T) *manualLoop {
	t.Helper()
	m := newManualLoop(t)
	h := &dialedHandler{opened: make(chan error, 1)}
	m.startDial(h)
	for len(h.opened) == 0 {
		m.runTurn()
	}
	requireNoError(t, <-h.opened)
	return m
}

// unreadBytes returns how many bytes have arrived on conn that have not been read.
func unreadBytes(t *testing.T, conn net.Conn) int {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	requireNoError(t, err)
	n := 0
	var ioctlErr error
	requireNoError(t, raw.Control(func(fd uintptr) { n, ioctlErr = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }))
	requireNoError(t, ioctlErr)
	return n
}

// Guards against a reset of connections whose peer has got everything: their close must be a usual one.
func TestCloseAfterDeliveryIsNoReset(t *testing.T) {
	m := newDialedLoop(t)
	m.conn.Write([]byte("call"))
	m.flush()
	for m.conn.Undelivered() > 0 {
		m.runTurn()
	}
	m.conn.Close()
	if received, err := io.ReadAll(m.peer); err != nil || string(received) != "call" {
		t.Errorf("the peer received %q and error %v, want %q and no error", received, err, "call")
	}
}
