package eventloop

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/lesismal/nbio"
)

// Dial opens a TCP connection to addr, a "host:port", and returns at once; h.OnOpen gets the result. What is
// written before that is dropped. Closing the Conn before that calls the dial off: h hears no more of it.
//
// A net.Dialer does it, on a goroutine that ends with the dial, after timeout at the latest. nbio's own DialAsync
// doesn't serve: in 1.6.8 it reports a refused connection as open first, and leaves the write event set
// on a connection that opens at once, on which the poller then spins.
func (l *Loop) Dial(addr string, timeout time.Duration, h DialHandler) *Conn {
	c := &Conn{loop: l, handler: h}
	go func() {
		nbioConn, err := l.connect(c, addr, timeout)
		l.events.push(event{kind: eventDialed, conn: c, nbioConn: nbioConn, err: err})
	}()
	return c
}

// connect dials addr and hands the connection to the poller. It runs on the dial's goroutine.
func (l *Loop) connect(c *Conn, addr string, timeout time.Duration) (*nbio.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	std, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	nbioConn, err := nbio.NBConn(std)
	if err != nil {
		_ = std.Close() // the error that matters is the first one
		return nil, fmt.Errorf("duplicate the descriptor of the connection to %s: %w", addr, err)
	}
	nbioConn.SetSession(c)
	if _, err := l.engine.AddConn(nbioConn); err != nil {
		return nbioConn, fmt.Errorf("poll the connection to %s: %w", addr, err)
	}
	return nbioConn, nil
}

// handleDialed handles the end of c's dial. nbioConn may be set along with an error.
func (c *Conn) handleDialed(nbioConn *nbio.Conn, err error) {
	c.nbioConn = nbioConn
	if c.closed { // called off in the meantime
		if nbioConn != nil {
			_ = nbioConn.Close() // no one has used it
		}
		return
	}
	if c.closeReported { // the peer closed it before this turn
		err = errors.Join(err, net.ErrClosed)
	}
	c.connected = err == nil
	c.closed = err != nil
	c.handler.(DialHandler).OnOpen(err)
}
