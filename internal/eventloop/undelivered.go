package eventloop

// Undelivered bytes are bytes written to a dialed connection that the peer's machine has not acknowledged: unread bytes,
// and bytes in the socket's send queue. The kernel may deliver the latter much later, when the peer reads again or the
// network works again, unless the connection is reset.

// sendBufferSize limits the bytes that the kernel takes for a dialed connection before the peer takes them: some calls of
// the largest size. The kernel doubles it for its own records.
const sendBufferSize = 32 << 10

// Unsent returns how many written bytes the kernel has not taken. Bytes that were written in this turn may not count yet.
func (c *Conn) Unsent() int { return len(c.unsent) }

// Undelivered returns how many written bytes the peer's machine has not acknowledged. It may acknowledge bytes some 40 ms
// after it has got them.
func (c *Conn) Undelivered() int { return c.pendingBytes + len(c.unsent) + c.sendQueue() }

// sendQueue returns how many bytes in the socket's send queue the peer's machine has not acknowledged; 0 if that is not
// known.
func (c *Conn) sendQueue() int {
	if c.socket.fd == noDescriptor {
		return 0
	}
	n, err := c.loop.calls.sendQueue(c.socket.fd)
	if err != nil {
		return 0
	}
	return n
}
