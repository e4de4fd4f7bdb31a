package eventloop

import (
	"errors"
	"syscall"
)

// maxWriteVectors is the most buffers in one gathered write. The kernel takes 1,024 (IOV_MAX).
const maxWriteVectors = 512

// errPeerNotReading closes a connection whose peer leaves bytes unread while all peers together leave too many.
var errPeerNotReading = errors.New("peer does not read")

// Write queues buffers until the end of the turn; the caller must not change them before. On a closed
// connection they are dropped.
func (c *Conn) Write(bufs ...[]byte) {
	if c.closed {
		return
	}
	if len(c.pending) == 0 {
		c.loop.unflushed = append(c.loop.unflushed, c)
	}
	c.activity.recordAnswer(c.loop.now)
	c.pending = append(c.pending, bufs...)
}

// flush writes what the turn has queued on all connections.
func (l *Loop) flush() {
	for _, c := range l.unflushed {
		if c.canWrite() {
			c.flush()
		} else {
			c.dropPending()
		}
	}
	l.unflushed = l.unflushed[:0]
}

func (c *Conn) canWrite() bool { return c.connected && !c.closed }

// flush writes what is pending, and closes the connection if that fails.
func (c *Conn) flush() {
	if err := c.writePending(); err != nil {
		c.closeCause = causeOfError(err, WriteFailed)
		c.closeWithError(err)
	}
	c.dropPending()
}

// dropPending forgets what is pending, and keeps its array for the next turn.
func (c *Conn) dropPending() {
	clear(c.pending)
	c.pending = c.pending[:0]
}

// writePending writes what is pending in as few system calls as possible.
func (c *Conn) writePending() error {
	for rest := c.pending; len(rest) > 0; {
		bufs := rest[:min(len(rest), maxWriteVectors)]
		rest = rest[len(bufs):]
		written, err := c.writeVectored(bufs)
		if err != nil {
			return err
		}
		if err := c.writeRest(bufs, written); err != nil {
			return err
		}
	}
	if c.unread.Load() > 0 && c.loop.totalUnread.Load() > int64(c.loop.cfg.MaxUnreadBytes) {
		return errPeerNotReading
	}
	return nil
}

// writeVectored writes bufs by one system call and returns how many bytes the kernel took; writeRest has to follow.
//
// It leaves all to writeRest where bytes are still waiting for the peer. nbio's Writev calls OnWrittenSize only if
// the kernel takes a part of the buffers, and behind waiting bytes it returns the same count whether the buffers
// were written or kept, so that the unread bytes could not be counted.
func (c *Conn) writeVectored(bufs [][]byte) (written int, err error) {
	if len(bufs) <= 1 || c.unread.Load() > 0 {
		return 0, nil
	}
	size := 0
	for _, b := range bufs {
		size += len(b)
	}
	written, err = c.nbioConn.Writev(bufs)
	if err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
		return 0, err
	}
	written = max(written, 0)
	if written < size {
		c.addUnread(written) // OnWrittenSize has already subtracted them
	}
	return written, nil
}

// writeRest hands to nbio what writeVectored left of bufs, of which the kernel took the first written bytes.
//
// After a short write nbio's Writev keeps only the rest of the buffer in which it ended, and drops the buffers
// behind it; if the kernel takes nothing, it keeps nothing. Its Write keeps all that the kernel does not take.
func (c *Conn) writeRest(bufs [][]byte, written int) error {
	for _, b := range bufs {
		if written >= len(b) {
			written -= len(b)
			continue
		}
		if written > 0 { // Writev has kept the rest of this one
			c.addUnread(len(b) - written)
			written = 0
			continue
		}
		c.addUnread(len(b))
		if _, err := c.nbioConn.Write(b); err != nil {
			return err
		}
	}
	return nil
}

// addUnread adds n to the bytes that the peer has yet to take. It is safe for concurrent use.
func (c *Conn) addUnread(n int) {
	c.unread.Add(int64(n))
	c.loop.totalUnread.Add(int64(n))
}

// UnreadBytes returns how many bytes the peers of accepted connections have yet to take, pending writes included.
func (l *Loop) UnreadBytes() int {
	sum := 0
	for c := range l.accepted {
		sum += int(c.unread.Load())
		for _, b := range c.pending {
			sum += len(b)
		}
	}
	return sum
}
