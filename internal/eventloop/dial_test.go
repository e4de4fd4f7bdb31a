package eventloop

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// dialRecorder records the results of a dial and the close of its connection.
type dialRecorder struct{ opened, closed chan error }

func newDialRecorder() *dialRecorder {
	return &dialRecorder{opened: make(chan error, 2), closed: make(chan error, 2)}
}

func (r *dialRecorder) OnData([]byte)     {}
func (r *dialRecorder) OnOpen(err error)  { r.opened <- err }
func (r *dialRecorder) OnClose(err error) { r.closed <- err }

// OnOpen must report ECONNREFUSED for a port without a listener, and nil for one with a listener.
func TestDialReportsItsResult(t *testing.T) {
	l := startLoop(t, 10, func(c *Conn) AcceptedHandler {
		return &echoHandler{conn: c, copies: 1, closed: make(chan error, 1)}
	})
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	requireNoError(t, err)
	addr := unused.Addr().String()
	requireNoError(t, unused.Close())

	refused := newDialRecorder()
	l.Post(func() { l.Dial(addr, time.Second, refused) })
	if err := <-refused.opened; !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a dial to a port without a listener: got %v, want ECONNREFUSED", err)
	}
	open := newDialRecorder()
	l.Post(func() { l.Dial(l.Addrs()[0], time.Second, open) })
	if err := <-open.opened; err != nil {
		t.Errorf("a dial to a listener: got %v, want no error", err)
	}
}
