package webhook

import (
	"net/netip"

	"functionrouter/internal/router"
)

// maxDiscardedBytes is the number of bytes that a connection receives and discards after an HTTP request that could not
// be parsed. If the client sends more, the connection is closed.
const maxDiscardedBytes = 256 << 10

// connection is the event loop's handler of a client's connection. It handles one HTTP request at a time; pipelined
// HTTP requests wait in buffered. A closed connection stays in delivery.waiting until the outcome is known.
type connection struct {
	receiver   *Receiver
	transport  Transport
	input      router.Input
	clientAddr netip.AddrPort

	buffered             []byte       // bytes received and not yet handled
	head                 *requestHead // head of the HTTP request whose body is incomplete; otherwise nil
	httpRequestsReceived int          // number of complete HTTP requests

	awaited            *delivery // the pending delivery whose outcome the connection waits for; otherwise nil
	awaitingResponse   bool      // a complete HTTP request has not been responded to yet
	closeAfterResponse bool      // the next response is the last one
	finished           bool      // further input is discarded, and nothing more is written
	discardedBytes     int       // number of bytes received after finished was set
}

// HasOpenRequests reports whether a complete HTTP request has not been responded to yet.
func (c *connection) HasOpenRequests() bool { return c.awaitingResponse }

// MessageProgress returns the number of complete HTTP requests that have been received, and whether a part of another
// one has been received. After finish it always reports a partial HTTP request, so that the event loop closes the
// connection after its message timeout, which is shorter than its timeout for idle connections.
func (c *connection) MessageProgress() (complete int, partial bool) {
	return c.httpRequestsReceived, c.finished || c.head != nil || len(c.buffered) > 0
}

// OnData decodes and handles the HTTP requests in b, which may start and end in the middle of an HTTP request.
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
		// The client keeps sending without waiting for the response. Closing the connection keeps the buffer bounded.
		// While no response is pending, the limits on an HTTP request bound the buffer.
		c.finish()
		c.transport.Close()
		return
	}
	c.handleBuffered()
}

// OnEndOfInput makes the next response the last one. A pending response is still written, because a client that has
// closed its side of the connection may still read. Pipelined HTTP requests after it are dropped without a response.
func (c *connection) OnEndOfInput() { c.closeAfterResponse = true }

// OnClose ends the connection. If no other connection waits for the outcome of the pending request, no attempt of it
// begins any more. An attempt that has begun goes on, and the client can get the outcome with a redelivery.
func (c *connection) OnClose(error) {
	c.finish()
	if c.awaited != nil {
		c.receiver.handleClientGone(c.awaited)
	}
}

// finish makes the connection discard all further input.
func (c *connection) finish() {
	c.finished = true
	c.buffered = nil
	c.head = nil
}

// handleBuffered handles the complete HTTP requests in buffered. It stops after the first one whose response is
// pending.
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

// readHead parses the head of the next HTTP request. If the client waits for 100 Continue before it sends the body,
// readHead writes this interim response. It returns false if the head is incomplete or was refused.
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

// takeHTTPRequest removes the first HTTP request, which must be complete, from the connection and marks it as awaiting
// its response. The returned head and body point into the old buffer, which is not modified afterwards.
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

// refuse answers the current HTTP request, which may be incomplete, with the status that statusOf returns for err.
func (c *connection) refuse(err error) {
	c.respond(response{status: statusOf(err), retryAfter: defaultRetryAfter})
}

// respond writes the response to the current HTTP request, and finishes the connection after the last response. It
// writes nothing if the connection is finished. The caller must handle the buffered HTTP requests afterwards.
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
	// Otherwise the client may still be sending, and closing now would reset the connection before the client has read
	// the response (RFC 9112, section 9.6). The connection is closed by the client, by OnData after maxDiscardedBytes
	// or by the event loop's message timeout; see MessageProgress.
}
