package eventloop

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/lesismal/nbio"
)

// Conn is a TCP connection, accepted or dialed. Its methods must be called on the loop's goroutine.
type Conn struct {
	loop     *Loop
	nbioConn *nbio.Conn // nil until a dial has succeeded
	accept   acceptFunc // nil on a dialed connection
	handler  Handler    // an AcceptedHandler or a DialHandler; nil until accept has returned one

	connected     bool       // the handler has been told, or is about to be, that the connection is open
	closed        bool       // nothing is read or written any more: this side closed it, or its close was reported
	closeReported bool       // nbio has reported its close
	closeCause    CloseCause // why this side closed it; valid once closed is set before closeReported

	pending  [][]byte // written in this turn
	activity messageActivity

	// unread counts the bytes handed to nbio that the kernel has yet to take. The pollers change it too.
	unread atomic.Int64
}

// RemoteAddr returns the peer's address, or the zero AddrPort if it is not known. The connection must be open.
func (c *Conn) RemoteAddr() netip.AddrPort {
	if addr, ok := c.nbioConn.RemoteAddr().(*net.TCPAddr); ok {
		return addr.AddrPort()
	}
	return netip.AddrPort{}
}

func (c *Conn) handleData(data []byte) {
	if c.handler == nil || c.closed {
		return
	}
	c.handler.OnData(data)
	if h, ok := c.handler.(AcceptedHandler); ok {
		complete, partial := h.MessageProgress()
		c.activity.recordProgress(complete, partial, c.loop.now)
	}
}

// handleClosed handles nbio's report that c is closed, whichever side did it.
func (l *Loop) handleClosed(c *Conn, err error) {
	delete(l.accepted, c)
	l.totalUnread.Add(-c.unread.Swap(0)) // no one reads these any more
	first := !c.closeReported
	c.closeReported = true
	if first && c.accept != nil {
		l.recordClose(c, err)
	}
	if c.handler != nil && c.connected && first {
		c.closed = true
		c.handler.OnClose(err)
	}
}

// CloseAfterFlush writes what is pending and closes. What the kernel does not take at once is dropped.
func (c *Conn) CloseAfterFlush() {
	if c.canWrite() {
		c.flush()
	}
	c.Close()
}

// Close closes the connection and drops its pending writes. Its handler's OnClose is called in a later turn, if
// the connection was ever open.
func (c *Conn) Close() { c.closeFor(ClosedByHandler) }

// closeFor is Close with the cause that is counted.
func (c *Conn) closeFor(cause CloseCause) {
	if !c.closed {
		c.closeCause = cause
		c.closeWithError(nil)
	}
}

// closeWithError closes the connection; the handler's OnClose gets err in a later turn.
func (c *Conn) closeWithError(err error) {
	c.closed = true
	if c.nbioConn != nil {
		_ = c.nbioConn.CloseWithError(err) // nothing can be done about a descriptor that does not close
	}
}
