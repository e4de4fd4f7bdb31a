package thrift

import (
	"bytes"
	"fmt"
	"math"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// maxOpenCalls is the maximum number of open calls on one connection. The router refuses the requests of further calls,
// so that a client that sends hundreds of calls at once leaves capacity for other clients. Clients keep at most 32
// calls open. A call counts towards the limit until its reply is written, even if the client has not read the reply.
const maxOpenCalls = 64

// maxSequenceID is the highest sequence ID that a client may use. On the wire, a sequence ID is a signed 32-bit number.
const maxSequenceID = math.MaxInt32

// call is the state of an execute call. It is the router.Responder of the call's request.
type call struct {
	connection *connection
	sequenceID uint32           // the client's ID of the call
	requestID  policy.RequestID // the router's ID of the call's request
	finished   bool             // the server has replied to the call, or the call was cancelled
}

// handleExecute submits the request of an execute call. If a field of the request is invalid, it replies at once with a
// Lost that names the field. An error is a protocol violation.
func (c *connection) handleExecute(d *decoder, sequenceID uint32) error {
	fields, body, err := decodeExecuteArguments(d)
	if err != nil {
		return err
	}
	if len(body) > maxBodyBytes {
		return fmt.Errorf("%w: %d bytes, limit %d", errBodyTooLarge, len(body), maxBodyBytes)
	}
	// Sequence IDs must increase. If one were used twice, the client could take the reply to one call for the reply to
	// the other. The rule also covers calls with an invalid field, so their IDs are recorded too.
	if sequenceID <= c.lastSequenceID || sequenceID > maxSequenceID {
		return fmt.Errorf("%w: %d after %d; IDs must increase up to %d",
			errSequenceID, sequenceID, c.lastSequenceID, maxSequenceID)
	}
	c.lastSequenceID = sequenceID

	request, invalid := c.server.parseRequest(fields)
	if invalid != nil {
		c.transport.Write(encodeLost(sequenceID, lostReason, invalid.field))
		return nil
	}
	c.submit(sequenceID, request, body)
	return nil
}

// submit passes the request of a call to the router. If the connection already has maxOpenCalls open calls, the router
// refuses the request at once, and the body is not copied. The bytes of body may change after submit returns.
func (c *connection) submit(sequenceID uint32, request router.Request, body []byte) {
	newCall := &call{connection: c, sequenceID: sequenceID}
	request.Responder = newCall
	request.Input = c.input
	request.ClientAddr = c.clientAddr
	server := c.server
	if len(c.openCalls) >= maxOpenCalls {
		server.router.RefuseAtOnce(server.clock(), request)
		return
	}
	request.Body = bytes.Clone(body)  // a slice of the frame would keep the whole read buffer in memory
	c.openCalls[sequenceID] = newCall // set before Submit, because Submit may call Respond, which removes the call
	requestID := server.router.Submit(server.clock(), request)
	if !newCall.finished {
		newCall.requestID = requestID
	}
}

// handleInterrupt cancels the request of the call that the client has stopped waiting for. It ignores an interrupt of
// a call that is not open, because the reply may have been sent before the interrupt arrived. The interrupt itself gets
// no reply, even if the client sent it as a call instead of a oneway message.
func (c *connection) handleInterrupt(d *decoder) error {
	var sequenceID uint32
	err := d.messageArguments(func(fieldID uint16, t valueType) bool {
		if fieldID != interruptSequenceIDField || t != typeI32 {
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

// handleCheck replies whether the server is ready for requests. It ignores the method's argument.
func (c *connection) handleCheck(d *decoder, sequenceID uint32) error {
	if err := d.messageArguments(func(uint16, valueType) bool { return false }); err != nil {
		return err
	}
	head, tail := encodeAnswer(methodCheck, sequenceID, 0, c.server.ready())
	c.transport.Write(head, tail)
	return nil
}

// Respond writes the reply with the router's final answer and marks the call as finished. It writes nothing if the call
// is already finished. The bytes of the response's body must not change afterwards.
func (c *call) Respond(response router.Response) {
	if c.finished {
		return
	}
	c.finished = true
	delete(c.connection.openCalls, c.sequenceID)
	transport := c.connection.transport
	switch response.Status {
	case router.Served:
		head, tail := encodeAnswer(methodExecute, c.sequenceID, len(response.Body), true)
		transport.Write(head, response.Body, tail)
	case router.Refused:
		transport.Write(encodeBackoff(c.sequenceID, response.RetryAfter))
	default:
		transport.Write(encodeLost(c.sequenceID))
	}
}

// cancel cancels the request of an open call and marks the call as finished. It writes no reply.
func (c *call) cancel(cause router.CancelCause) {
	delete(c.connection.openCalls, c.sequenceID)
	if c.finished {
		return
	}
	c.finished = true
	server := c.connection.server
	server.router.Cancel(server.clock(), c.requestID, cause)
}
