package thrift

import (
	"bytes"
	"fmt"
	"math"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// maxOpenCalls is how many calls one connection may have open. Clients keep to 32; a call ends here when its reply is
// written, so that replies which the client has not read yet do not count. The requests of calls beyond it are refused, so
// that a client that sends hundreds at once leaves capacity to the others.
const maxOpenCalls = 64

// maxSequenceID is the highest sequence ID that a client may use: on the wire it is a signed number (i32).
const maxSequenceID = math.MaxInt32

// call is an execute call. It is the Responder of its request.
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
	// Sequence IDs go up. Under one that was used before, a reply could be taken for the other call's. This holds also for
	// the calls below whose fields can't be used.
	if sequenceID <= c.lastSequenceID || sequenceID > maxSequenceID {
		return fmt.Errorf("%w: %d after %d", errSequenceID, sequenceID, c.lastSequenceID)
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

// submit hands the request of a call to the router. If the connection has too many open calls, it has the router refuse the
// request at once, without a copy of its body. The bytes of body may change when submit has returned.
func (c *connection) submit(sequenceID uint32, request router.Request, body []byte) {
	newCall := &call{connection: c, sequenceID: sequenceID}
	request.Responder = newCall
	request.ClientAddr = c.clientAddr
	server := c.server
	if len(c.openCalls) >= maxOpenCalls {
		server.router.RefuseAtOnce(server.clock(), request)
		return
	}
	request.Body = bytes.Clone(body)  // so that a large read is not kept in memory for one small body in it
	c.openCalls[sequenceID] = newCall // before Submit, which may call Respond, which removes it
	requestID := server.router.Submit(server.clock(), request)
	if !newCall.finished {
		newCall.requestID = requestID
	}
}

// handleInterrupt cancels the request of the call that the client no longer waits for. A call that is not open is
// ignored: its reply may have crossed the message. The interrupt itself has no reply, even if it came as a call.
func (c *connection) handleInterrupt(d *decoder) error {
	var sequenceID uint32
	err := d.structFields(func(fieldID uint16, t valueType) bool {
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

// handleCheck replies whether the server is ready for requests. The method's argument has no meaning.
func (c *connection) handleCheck(d *decoder, sequenceID uint32) error {
	if err := d.structFields(func(uint16, valueType) bool { return false }); err != nil {
		return err
	}
	head, tail := encodeAnswer(methodCheck, sequenceID, 0, c.server.ready())
	c.transport.Write(head, tail)
	return nil
}

// Respond writes the reply with the final answer, and ends the call. It writes nothing if the call has been replied to or
// cancelled. The response's body must not change afterwards.
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

// cancel cancels the request of an open call, and ends the call. No reply is written.
func (c *call) cancel(cause router.CancelCause) {
	delete(c.connection.openCalls, c.sequenceID)
	if c.finished {
		return
	}
	c.finished = true
	server := c.connection.server
	server.router.Cancel(server.clock(), c.requestID, cause)
}
