package eventloop

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// dialRecorder records how a dial and its connection ended.
type dialRecorder struct{ opened, closed chan error }

func newDialRecorder() *dialRecorder {
	return &dialRecorder{opened: make(chan error, 2), closed: make(chan error, 2)}
}

func (r *dialRecorder) OnData([]byte)     {}
func (r *dialRecorder) OnOpen(err error)  { r.opened <- err }
func (r *dialRecorder) OnClose(err error) { r.closed <- err }

func TestDialReportsItsResult(t *testing.T) {
	l := startLoop(t, 10, func(c *Conn) AcceptedHandler {
		return &echoHandler{conn: c, copies: 1, closed: make(chan error, 1)}
	})
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	addr := unused.Addr().String()
	check(t, unused.Close())

	refused := newDialRecorder()
	l.Post(func() { l.Dial(addr, time.Second, refused) })
	if err := <-refused.opened; !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a refused dial: %v", err)
	}
	open := newDialRecorder()
	l.Post(func() { l.Dial(l.Addrs()[0], time.Second, open) })
	if err := <-open.opened; err != nil {
		t.Errorf("a dial: %v", err)
	}
}
