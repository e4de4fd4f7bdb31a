package thrift

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"functionrouter/internal/router"
)

const (
	// maxBodyBytes is the maximum size of a request's body. A larger body is a protocol violation.
	maxBodyBytes = 16 << 10

	// maxFrameBytes is the maximum size of a frame without its header: a body of maximum size and 4 KiB for the
	// request's fields. It also limits how much of an incomplete frame a connection buffers.
	maxFrameBytes = maxBodyBytes + 4<<10

	// frameHeaderBytes is the size of a frame's header, which holds the length of the frame without the header.
	frameHeaderBytes = 4
)

// connection is the connection of one client. It decodes the client's frames and tracks the open calls. It implements
// eventloop.AcceptedHandler.
type connection struct {
	server     *Server
	transport  Transport
	input      router.Input
	clientAddr netip.AddrPort

	partialFrame     []byte           // the received beginning of an incomplete frame, with its header
	framesReceived   int              // number of complete frames
	openCalls        map[uint32]*call // by sequence ID
	lastSequenceID   uint32           // ID of the latest execute call; IDs of calls of other methods are not checked
	stoppedReceiving bool             // received bytes are ignored
}

// HasOpenRequests reports whether the connection has open calls.
func (c *connection) HasOpenRequests() bool { return len(c.openCalls) > 0 }

// MessageProgress returns the number of complete messages received, including those that violate the protocol, and
// whether the beginning of another message has been received.
func (c *connection) MessageProgress() (complete int, partial bool) {
	return c.framesReceived, len(c.partialFrame) > 0
}

// OnData handles the frames in b, which may begin and end in the middle of a frame. It collects an incomplete frame in
// a buffer that grows by appending, so that a frame that arrives a few bytes at a time is not copied at each read.
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
		return // the buffer already holds all received bytes of the incomplete frame
	}
	c.partialFrame = bytes.Clone(rest) // a slice of b would keep the whole read buffer in memory
}

// handleFrames handles the complete frames at the front of b and returns the bytes after them as a slice of b. It stops
// at the first protocol violation and returns it as an error.
func (c *connection) handleFrames(b []byte) (rest []byte, err error) {
	for len(b) >= frameHeaderBytes && !c.stoppedReceiving {
		size := binary.BigEndian.Uint32(b)
		if size > maxFrameBytes {
			return nil, fmt.Errorf("%w: %d bytes, limit %d", errFrameTooLarge, size, maxFrameBytes)
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

// closeForViolation closes the connection of a client that violated the protocol. It replies to the open calls first,
// because the Transport drops writes after CloseAfterFlush.
func (c *connection) closeForViolation(err error) {
	c.server.logViolation(err)
	c.OnEndOfInput()
	c.transport.CloseAfterFlush()
}

// OnEndOfInput makes the router answer the requests of all open calls as refused or failed and then cancel them. Every
// open call gets a reply, because a client that has half-closed the connection may still read.
func (c *connection) OnEndOfInput() {
	c.stopReceiving()
	server := c.server
	for _, open := range c.openCallsBySequenceID() {
		server.router.Disconnect(server.clock(), open.requestID)
	}
}

// OnClose cancels the requests of all open calls, because no reply can be sent on a closed connection.
func (c *connection) OnClose(error) {
	c.stopReceiving()
	for _, open := range c.openCallsBySequenceID() {
		open.cancel(router.ClientDisconnected)
	}
}

// stopReceiving makes the connection ignore all bytes that arrive later, and drops the incomplete frame.
func (c *connection) stopReceiving() {
	c.stoppedReceiving = true
	c.partialFrame = nil
}

// openCallsBySequenceID returns the open calls in the order in which the client sent them. The slice is a copy, so that
// the caller can finish calls, which removes them from openCalls.
func (c *connection) openCallsBySequenceID() []*call {
	return slices.SortedFunc(maps.Values(c.openCalls), func(a, b *call) int {
		return cmp.Compare(a.sequenceID, b.sequenceID)
	})
}
