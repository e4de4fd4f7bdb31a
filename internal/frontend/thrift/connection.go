package thrift

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// The methods of the service, as they are named on the wire.
const (
	methodExecute   = "execute"
	methodInterrupt = "interrupt"
	methodCheck     = "check"
)

// The arguments of the methods, by their field IDs.
const (
	executeFieldsID     = 1
	executeBodyID       = 2
	interruptSequenceID = 1
)

const (
	// maxOpenCalls is how many calls one connection may have open. Clients keep to 32, but may not yet have read
	// answers that were sent. Calls beyond it are rejected, so that a client that sends hundreds at once leaves
	// capacity to the others.
	maxOpenCalls = 64

	maxBodyBytes  = 16 << 10
	maxFrameBytes = maxBodyBytes + 4<<10 // a body and the fields beside it

	frameHeaderBytes = 4 // the length of the frame, without the header
)

// connection is the connection of one client.
type connection struct {
	server     *Server
	transport  Transport
	clientAddr netip.AddrPort

	partialFrame   []byte // the received beginning of a frame, with its header
	frames         int    // complete frames received
	openCalls      map[uint32]*call
	lastSequenceID uint32 // of execute, the highest so far
	closed         bool
}

// call is an execute call whose answer is owed. It is the Responder of its request.
type call struct {
	connection *connection
	sequenceID uint32
	requestID  policy.RequestID
	finished   bool // answered or cancelled
}

// HasOpenRequests reports whether answers are owed on the connection.
func (c *connection) HasOpenRequests() bool { return len(c.openCalls) > 0 }

// MessageProgress returns how many complete messages have been received and whether the beginning of another has.
func (c *connection) MessageProgress() (complete int, partial bool) {
	return c.frames, len(c.partialFrame) > 0
}

// OnData decodes the frames in b, which may begin and end anywhere in a frame. The beginning of a frame is kept in a
// buffer that grows with it, so that a frame that arrives a few bytes at a time is not copied for each of them.
func (c *connection) OnData(b []byte) {
	if c.closed {
		return
	}
	buffered := len(c.partialFrame) > 0
	if buffered {
		c.partialFrame = append(c.partialFrame, b...)
		b = c.partialFrame
	}
	framesBefore := c.frames
	rest, err := c.handleFrames(b)
	if err != nil {
		c.closeForViolation(err)
		return
	}
	if c.closed {
		return
	}
	if buffered && c.frames == framesBefore {
		return // the buffer already holds all of the frame that has arrived
	}
	c.partialFrame = bytes.Clone(rest) // so that a large read is not kept in memory for its tail
}

// handleFrames handles the complete frames at the front of b and returns the bytes behind them.
func (c *connection) handleFrames(b []byte) (rest []byte, err error) {
	for len(b) >= frameHeaderBytes && !c.closed {
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
		c.frames++
		if err := c.handleMessage(frame); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// closeForViolation closes the connection of a client that broke the protocol. The calls that were read before that are
// answered.
func (c *connection) closeForViolation(err error) {
	c.server.logViolation(err)
	c.OnEndOfInput()
	c.transport.CloseAfterFlush()
}

// OnEndOfInput gives all open calls up, and answers them: a client that has closed its side may still read.
func (c *connection) OnEndOfInput() {
	c.stopReceiving()
	server := c.server
	for _, open := range c.callsInOrder() {
		server.router.Disconnect(server.clock(), open.requestID)
	}
}

// OnClose cancels all open calls: nobody waits for their answers.
func (c *connection) OnClose(error) {
	c.stopReceiving()
	for _, open := range c.callsInOrder() {
		open.cancel(router.ClientDisconnected)
	}
}

func (c *connection) stopReceiving() {
	c.closed = true
	c.partialFrame = nil
}

// callsInOrder returns the open calls in the order in which they came.
func (c *connection) callsInOrder() []*call {
	return slices.SortedFunc(maps.Values(c.openCalls), func(a, b *call) int {
		return cmp.Compare(a.sequenceID, b.sequenceID)
	})
}

// cancel gives up the call. No answer is sent.
func (c *call) cancel(cause router.CancelCause) {
	delete(c.connection.openCalls, c.sequenceID)
	if c.finished {
		return
	}
	c.finished = true
	server := c.connection.server
	server.router.Cancel(server.clock(), c.requestID, cause)
}

// handleMessage handles the message in a frame. An error says how it violates the protocol.
func (c *connection) handleMessage(frame []byte) error {
	d := &decoder{remaining: frame}
	header, err := d.messageHeader()
	if err != nil {
		return err
	}
	isCall := header.messageType == messageCall
	isOneway := header.messageType == messageOneway
	switch {
	case header.method == methodExecute && isCall:
		return c.handleExecute(d, header.sequenceID)
	case header.method == methodInterrupt && (isOneway || isCall):
		return c.handleInterrupt(d)
	case header.method == methodCheck && isCall:
		return c.handleCheck(d, header.sequenceID)
	case isCall:
		c.transport.Write(encodeUnknownMethod(header.method, header.sequenceID))
		return nil
	case isOneway:
		return nil // nothing can be answered
	}
	return fmt.Errorf("%w: %v %q", errUnexpectedMessage, header.messageType, header.method)
}

// handleExecute submits a call. A request that is in the right form but can't be used is answered with Lost.
func (c *connection) handleExecute(d *decoder, sequenceID uint32) error {
	fields, body, err := decodeExecuteArguments(d)
	if err != nil {
		return err
	}
	if len(body) > maxBodyBytes {
		return errBodyTooLarge
	}
	// Sequence IDs go up. Under one that was used before, an answer could be taken for the other call's.
	if sequenceID <= c.lastSequenceID || sequenceID > math.MaxInt32 {
		return fmt.Errorf("%w: %d after %d", errSequenceID, sequenceID, c.lastSequenceID)
	}
	c.lastSequenceID = sequenceID

	request, err := c.server.parseRequest(fields)
	if err != nil {
		var invalid *invalidFieldError
		if !errors.As(err, &invalid) {
			return err
		}
		c.transport.Write(encodeLost(sequenceID, answerReason, invalid.field))
		return nil
	}
	c.submit(sequenceID, request, body)
	return nil
}

// submit hands the request of a call to the router, or has it rejected where too many calls are open.
func (c *connection) submit(sequenceID uint32, request router.Request, body []byte) {
	newCall := &call{connection: c, sequenceID: sequenceID}
	request.Responder = newCall
	request.ClientAddr = c.clientAddr
	server := c.server
	if len(c.openCalls) >= maxOpenCalls {
		server.router.RefuseAtOnce(server.clock(), request)
		return
	}
	request.Body = bytes.Clone(body) // so that a large read is not kept in memory for one small body in it
	c.openCalls[sequenceID] = newCall
	requestID := server.router.Submit(server.clock(), request)
	if !newCall.finished {
		newCall.requestID = requestID
	}
}

// handleInterrupt cancels the call that the client no longer waits for. One that is not open is ignored: its answer
// may have crossed the message.
func (c *connection) handleInterrupt(d *decoder) error {
	var sequenceID uint32
	err := d.structFields(func(id uint16, t valueType) bool {
		if id != interruptSequenceID || t != typeI32 {
			return false
		}
		sequenceID = d.uint32()
		return true
	})
	if err != nil {
		return err
	}
	if open := c.openCalls[sequenceID]; open != nil {
		open.cancel(router.ClientInterrupted)
	}
	return nil
}

// handleCheck answers whether the server is ready for requests. The method's argument has no meaning.
func (c *connection) handleCheck(d *decoder, sequenceID uint32) error {
	if err := d.structFields(func(uint16, valueType) bool { return false }); err != nil {
		return err
	}
	head, tail := encodeAnswer(methodCheck, sequenceID, 0, c.server.ready())
	c.transport.Write(head, tail)
	return nil
}
