package webhook

import "net/netip"

// maxDiscardedBytes is how much is received and discarded after an HTTP request that could not be parsed, before the
// connection is closed.
const maxDiscardedBytes = 256 << 10

// connection is a client's connection. It handles one HTTP request at a time; pipelined ones wait in buffered. It is the
// event loop's handler of the connection, and stays in delivery.waiting after its end until the outcome is known.
type connection struct {
	receiver   *Receiver
	transport  Transport
	clientAddr netip.AddrPort

	buffered             []byte       // received and not yet handled
	head                 *requestHead // of the HTTP request whose body is still incomplete
	httpRequestsReceived int          // complete ones

	awaitingResponse bool // a complete HTTP request is owed a response
	closeAfterResponse       bool // the next response is the last one
	finished         bool // what arrives is discarded, and nothing is written any more
	discardedBytes   int  // received after finished was set
}

// HasOpenRequests reports whether a response is owed.
func (c *connection) HasOpenRequests() bool { return c.awaitingResponse }

// MessageProgress returns how many complete HTTP requests have been received and whether the beginning of another has.
// After finish it reports a beginning that never ends, so that the event loop closes the connection after its timeout for
// one message, which is shorter than that for an idle connection.
func (c *connection) MessageProgress() (complete int, partial bool) {
	return c.httpRequestsReceived, c.finished || c.head != nil || len(c.buffered) > 0
}

// OnData decodes the HTTP requests in b, which may begin and end anywhere in one, and handles them.
func (c *connection) OnData(b []byte) {
	if c.finished {
		c.discardedBytes += len(b)
		if c.discardedBytes > maxDiscardedBytes {
			c.transport.Close()
		}
		return
	}
	c.buffered = append(c.buffered, b...)
	if c.awaitingResponse && len(c.buffered) > maxHeadBytes+maxHTTPBodyBytes {
		// The client sends on without waiting for the response: the buffer must not grow without a bound. While no response
		// is owed, the limits on an HTTP request bound it.
		c.finish()
		c.transport.Close()
		return
	}
	c.handleBuffered()
}

// OnEndOfInput makes the next response the last one. A response that is owed is still written: a client that has closed
// its side may still read. Pipelined HTTP requests behind it are dropped without a response.
func (c *connection) OnEndOfInput() { c.closeAfterResponse = true }

// OnClose ends the connection. A pending request goes on: the client gets its outcome with a redelivery.
func (c *connection) OnClose(error) { c.finish() }

// finish makes the connection discard what it receives from now on.
func (c *connection) finish() {
	c.finished = true
	c.buffered = nil
	c.head = nil
}

// handleBuffered handles the complete HTTP requests, up to the first whose response is not written at once.
func (c *connection) handleBuffered() {
	for !c.awaitingResponse && !c.finished && len(c.buffered) > 0 {
		if c.head == nil && !c.readHead() {
			return
		}
		if len(c.buffered) < c.head.contentLength {
			return
		}
		head, body := c.takeHTTPRequest()
		c.receiver.handle(c, head, body)
	}
}

// readHead parses the head of the next HTTP request, and writes 100 Continue if the client waits for it before it sends
// the body. It returns false if the head is incomplete, or was refused.
func (c *connection) readHead() bool {
	head, size, err := parseRequestHead(c.buffered)
	if err != nil {
		c.receiver.Counters.Malformed++
		c.closeAfterResponse = true
		c.refuse(err)
		return false
	}
	if size == 0 {
		return false
	}
	c.head = &head
	c.buffered = c.buffered[size:]
	if head.expectsContinue && len(c.buffered) < head.contentLength {
		c.transport.Write([]byte(continueResponse))
	}
	return true
}

// takeHTTPRequest removes the body of the first HTTP request, which is complete, from buffered. From now on the request is
// owed a response. What it returns points into the old buffer, which does not change any more.
func (c *connection) takeHTTPRequest() (head *requestHead, body []byte) {
	head = c.head
	body = c.buffered[:head.contentLength:head.contentLength]
	c.buffered = append([]byte(nil), c.buffered[head.contentLength:]...)
	c.head = nil
	c.closeAfterResponse = head.closeRequested
	c.awaitingResponse = true
	c.httpRequestsReceived++
	return head, body
}

// refuse answers the current HTTP request, which may be incomplete, with the status that err maps to.
func (c *connection) refuse(err error) {
	c.respond(response{status: statusOf(err), retryAfter: defaultRetryAfter})
}

// respond writes the response to the current HTTP request, and finishes the connection after the last one. It does not
// handle what is buffered: the caller does. It writes nothing if the connection is finished.
func (c *connection) respond(r response) {
	requestComplete := c.awaitingResponse
	c.awaitingResponse = false
	if c.finished {
		return
	}
	head := responseHead{status: r.status, contentLength: len(r.body), closeConnection: c.closeAfterResponse, retryAfter: r.retryAfter}
	c.transport.Write(head.encode(), r.body)
	if !c.closeAfterResponse {
		return
	}
	c.finish()
	if requestComplete {
		c.transport.CloseAfterFlush()
	}
	// Otherwise the client may still be sending: closing now would reset the connection before the client has read the
	// response (RFC 9112, section 9.6). The client closes it, or else maxDiscardedBytes or a timeout does; see
	// MessageProgress.
}
