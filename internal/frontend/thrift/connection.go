package thrift

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"

	"functionrouter/internal/router"
)

const (
	// maxBodyBytes bounds the body of a request. A larger one violates the protocol.
	maxBodyBytes = 16 << 10

	// maxFrameBytes bounds a frame, and with it what a connection keeps of an incomplete one: a body and 4 KiB for the
	// fields beside it.
	maxFrameBytes = maxBodyBytes + 4<<10

	// frameHeaderBytes is the size of a frame's header: the length of the frame, without the header.
	frameHeaderBytes = 4
)

// connection is the connection of one client: it decodes frames and holds the calls that are owed a reply. It is the
// event loop's handler of the connection.
type connection struct {
	server     *Server
	transport  Transport
	clientAddr netip.AddrPort

	partialFrame     []byte           // the received beginning of a frame, with its header
	framesReceived   int              // complete ones
	openCalls        map[uint32]*call // by sequence ID
	lastSequenceID   uint32           // the highest of the execute calls so far; those of other methods are not checked
	stoppedReceiving bool             // what arrives now is ignored
}

// HasOpenRequests reports whether calls of the connection are owed a reply.
func (c *connection) HasOpenRequests() bool { return len(c.openCalls) > 0 }

// MessageProgress returns how many complete messages have been received, including those that violate the protocol, and
// whether the beginning of another has.
func (c *connection) MessageProgress() (complete int, partial bool) {
	return c.framesReceived, len(c.partialFrame) > 0
}

// OnData decodes the frames in b, which may begin and end anywhere in a frame. The beginning of a frame is kept in a
// buffer that grows with it, so that a frame that arrives a few bytes at a time is not copied for each of them.
func (c *connection) OnData(b []byte) {
	if c.stoppedReceiving {
		return
	}
	buffered := len(c.partialFrame) > 0
	if buffered {
		c.partialFrame = append(c.partialFrame, b...)
		b = c.partialFrame
	}
	framesBefore := c.framesReceived
	rest, err := c.handleFrames(b)
	if err != nil {
		c.closeForViolation(err)
		return
	}
	if c.stoppedReceiving {
		return
	}
	if buffered && c.framesReceived == framesBefore {
		return // the buffer already holds all of the frame that has arrived
	}
	c.partialFrame = bytes.Clone(rest) // so that a large read is not kept in memory for its tail
}

// handleFrames handles the complete frames at the front of b and returns the bytes after them, which point into b. An
// error is a violation of the protocol; the frames after it are not handled.
func (c *connection) handleFrames(b []byte) (rest []byte, err error) {
	for len(b) >= frameHeaderBytes && !c.stoppedReceiving {
		size := binary.BigEndian.Uint32(b)
		if size > maxFrameBytes {
			return nil, errFrameTooLarge
		}
		end := frameHeaderBytes + int(size)
		if len(b) < end {
			break
		}
		frame := b[frameHeaderBytes:end]
		b = b[end:]
		c.framesReceived++
		if err := c.handleMessage(frame); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// closeForViolation closes the connection of a client that violated the protocol. The open calls are replied to first:
// CloseAfterFlush drops later writes.
func (c *connection) closeForViolation(err error) {
	c.server.logViolation(err)
	c.OnEndOfInput()
	c.transport.CloseAfterFlush()
}

// OnEndOfInput ends the requests of all open calls, as refused or failed, and replies to the calls: a client that has
// closed its side may still read.
func (c *connection) OnEndOfInput() {
	c.stopReceiving()
	server := c.server
	for _, open := range c.openCallsBySequenceID() {
		server.router.Disconnect(server.clock(), open.requestID)
	}
}

// OnClose cancels the requests of all open calls: nobody waits for the replies.
func (c *connection) OnClose(error) {
	c.stopReceiving()
	for _, open := range c.openCallsBySequenceID() {
		open.cancel(router.ClientDisconnected)
	}
}

// stopReceiving makes the connection ignore what arrives from now on.
func (c *connection) stopReceiving() {
	c.stoppedReceiving = true
	c.partialFrame = nil
}

// openCallsBySequenceID returns the open calls in the sequence in which the client sent them. It is a copy: to end a call
// changes openCalls.
func (c *connection) openCallsBySequenceID() []*call {
	return slices.SortedFunc(maps.Values(c.openCalls), func(a, b *call) int {
		return cmp.Compare(a.sequenceID, b.sequenceID)
	})
}
