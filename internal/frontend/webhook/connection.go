package webhook

import (
	"net/netip"
	"time"
)

// maxDiscardedBytes is how much is read and dropped after a request that could not be parsed, before the connection is
// closed.
const maxDiscardedBytes = 256 << 10

// connection is a client's connection. It handles one request at a time; pipelined ones wait in buffered. It belongs to
// the event loop's goroutine.
type connection struct {
	receiver  *Receiver
	transport Transport
	peer      netip.AddrPort

	buffered         []byte
	head             *requestHead // of the request whose body is still incomplete
	requestsReceived int          // with their bodies

	awaitingResponse bool // a request's response is owed
	closesNext       bool // the next response is the last one
	finished         bool // no further request is read
	discardedBytes   int  // that came after finished was set
}

// response answers a request.
type response struct {
	status     int // HTTP status code
	body       []byte
	retryAfter time.Duration // of 503
}

// HasOpenRequests reports whether a response is owed.
func (c *connection) HasOpenRequests() bool { return c.awaitingResponse }

// MessageProgress returns how many requests have come with their bodies, and whether the beginning of another has;
// what a client sends after the last response counts as no more than a beginning.
func (c *connection) MessageProgress() (whole int, begun bool) {
	return c.requestsReceived, c.finished || c.head != nil || len(c.buffered) > 0
}

// OnData takes in requests, split in any way.
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

// OnEndOfInput says that the client sends nothing more. The response that it is owed is written all the same.
func (c *connection) OnEndOfInput() { c.closesNext = true }

// OnClose ends the connection. A pending call goes on: the sender of the delivery gets its outcome with a redelivery.
func (c *connection) OnClose(error) { c.finish() }

// finish has no further request read.
func (c *connection) finish() {
	c.finished = true
	c.buffered = nil
	c.head = nil
}

// handleBuffered handles the requests that are complete, up to the first whose response takes time.
func (c *connection) handleBuffered() {
	for !c.awaitingResponse && !c.finished && len(c.buffered) > 0 {
		if c.head == nil && !c.readHead() {
			return
		}
		if len(c.buffered) < c.head.contentLength {
			return
		}
		head, body := c.takeRequest()
		c.receiver.handle(c, head, body)
	}
}

// readHead reads the next request's head. It returns false where that is incomplete, or was rejected.
func (c *connection) readHead() bool {
	head, size, err := parseRequestHead(c.buffered)
	if err != nil {
		c.receiver.Count.Malformed++
		c.closesNext = true
		c.reject(err)
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

// takeRequest takes the first request, which is complete, out of what has come.
func (c *connection) takeRequest() (*requestHead, []byte) {
	head := c.head
	body := c.buffered[:head.contentLength:head.contentLength]
	c.buffered = append([]byte(nil), c.buffered[head.contentLength:]...) // head and body keep the bytes before
	c.head = nil
	c.closesNext = head.closeRequested
	c.awaitingResponse = true
	c.requestsReceived++
	return head, body
}

// reject answers the current request with the status that err maps to.
func (c *connection) reject(err error) {
	c.respond(response{status: statusOf(err), retryAfter: defaultRetryAfter})
}

// respond writes the one response to the current request.
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
	// Otherwise the client may still be sending: closing now would reset the connection before the client has read
	// the response (RFC 9112, section 9.6). The client closes it, or else maxDiscardedBytes or the idle limit does.
}
