package thrift

import (
	"bytes"
	"errors"
	"fmt"
	"math"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// maxOpenCalls is how many calls one connection may have open. Clients keep to 32, but may not yet have read replies
// that were sent. The requests of calls beyond it are refused, so that a client that sends hundreds at once leaves
// capacity to the others.
const maxOpenCalls = 64

// call is an execute call that is owed a reply. It is the Responder of its request.
type call struct {
	connection *connection
	sequenceID uint32           // the client's ID of the call
	requestID  policy.RequestID // the router's ID of the call's request
	finished   bool             // replied to or cancelled
}

// handleExecute submits the request of an execute call. A request whose fields can't be used fails at once: the reply
// is a Lost that names the field.
func (c *connection) handleExecute(d *decoder, sequenceID uint32) error {
	fields, body, err := decodeExecuteArguments(d)
	if err != nil {
		return err
	}
	if len(body) > maxBodyBytes {
		return errBodyTooLarge
	}
	// Sequence IDs go up. Under one that was used before, a reply could be taken for the other call's.
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
		c.transport.Write(encodeLost(sequenceID, lostReason, invalid.field))
		return nil
	}
	c.submit(sequenceID, request, body)
	return nil
}

// submit hands the request of a call to the router, which refuses it at once if the connection has too many open calls.
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
	if !newCall.finished { // Submit may have called Respond
		newCall.requestID = requestID
	}
}

// handleInterrupt cancels the request of the call that the client no longer waits for. A call that is not open is
// ignored: its reply may have crossed the message.
func (c *connection) handleInterrupt(d *decoder) error {
	var sequenceID uint32
	err := d.structFields(func(fieldID uint16, t valueType) bool {
		if fieldID != interruptSequenceID || t != typeI32 {
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

// handleCheck replies whether the server is ready for requests. The method's argument has no meaning.
func (c *connection) handleCheck(d *decoder, sequenceID uint32) error {
	if err := d.structFields(func(uint16, valueType) bool { return false }); err != nil {
		return err
	}
	head, tail := encodeAnswer(methodCheck, sequenceID, 0, c.server.ready())
	c.transport.Write(head, tail)
	return nil
}

// Respond writes the reply with the final answer. It writes nothing if the client has interrupted the call or closed
// the connection.
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

// cancel cancels the call's request. No reply is written.
func (c *call) cancel(cause router.CancelCause) {
	delete(c.connection.openCalls, c.sequenceID)
	if c.finished {
		return
	}
	c.finished = true
	server := c.connection.server
	server.router.Cancel(server.clock(), c.requestID, cause)
}
