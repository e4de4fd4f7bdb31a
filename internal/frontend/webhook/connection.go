package webhook

import (
	"net/netip"
	"time"
)

// maxDiscardedBytes is how much is received and discarded after an HTTP request that could not be parsed, before the
// connection is closed.
const maxDiscardedBytes = 256 << 10

// connection is a client's connection. It handles one HTTP request at a time; pipelined ones wait in buffered. It is the
// event loop's handler of the connection.
type connection struct {
	receiver   *Receiver
	transport  Transport
	clientAddr netip.AddrPort

	buffered             []byte       // received and not yet handled
	head                 *requestHead // of the HTTP request whose body is still incomplete
	httpRequestsReceived int          // complete ones

	awaitingResponse bool // an HTTP request is owed a response
	closesNext       bool // the next response is the last one
	finished         bool // no further HTTP request is read
	discardedBytes   int  // received after finished was set
}

// response is the answer to an HTTP request.
type response struct {
	status     int // HTTP status code
	body       []byte
	retryAfter time.Duration // of 503; 0: at least one second, see responseHead
}

// HasOpenRequests reports whether a response is owed.
func (c *connection) HasOpenRequests() bool { return c.awaitingResponse }

// MessageProgress returns how many complete HTTP requests have been received and whether the beginning of another has.
// What a client sends after the last response counts as a beginning.
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
	if c.awaitingResponse && len(c.buffered) > maxHeadBytes+maxBodyBytes {
		// The client sends on without waiting for the response.
		c.finish()
		c.transport.Close()
		return
	}
	c.handleBuffered()
}

// OnEndOfInput makes the next response the last one. A response that is owed is still written: a client that has closed
// its side may still read.
func (c *connection) OnEndOfInput() { c.closesNext = true }

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

// readHead parses the head of the next HTTP request. It returns false if the head is incomplete, or was refused.
func (c *connection) readHead() bool {
	head, size, err := parseRequestHead(c.buffered)
	if err != nil {
		c.receiver.Counters.Malformed++
		c.closesNext = true
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

// takeHTTPRequest removes the first HTTP request, which is complete, from buffered. The returned parts keep its bytes.
func (c *connection) takeHTTPRequest() (head *requestHead, body []byte) {
	head = c.head
	body = c.buffered[:head.contentLength:head.contentLength]
	c.buffered = append([]byte(nil), c.buffered[head.contentLength:]...) // head and body point into the old buffer
	c.head = nil
	c.closesNext = head.closeRequested
	c.awaitingResponse = true
	c.httpRequestsReceived++
	return head, body
}

// refuse answers the current HTTP request with the status that err maps to.
func (c *connection) refuse(err error) {
	c.respond(response{status: statusOf(err), retryAfter: defaultRetryAfter})
}

// respond writes the response to the current HTTP request, and ends the connection after the last one.
func (c *connection) respond(r response) {
	requestComplete := c.awaitingResponse
	c.awaitingResponse = false
	if c.finished {
		return
	}
	head := responseHead{status: r.status, contentLength: len(r.body), closes: c.closesNext, retryAfter: r.retryAfter}
	c.transport.Write(head.encode(), r.body)
	if !c.closesNext {
		return
	}
	c.finish()
	if requestComplete {
		c.transport.CloseAfterFlush()
	}
	// Otherwise the client may still be sending: closing now would reset the connection before the client has read the
	// response (RFC 9112, section 9.6). The client closes it, or else maxDiscardedBytes or the idle timeout does.
}
