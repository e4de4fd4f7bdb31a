package thrift

import "fmt"

//go:generate go tool -modfile=../../../tools/go.mod stringer -linecomment -output=enum_string.go -type=messageType

// messageType is the kind of a message.
type messageType byte

// The types of messages, from the Apache Thrift specification, "Thrift Remote Procedure Call". Their texts are the
// specification's names.
const (
	// A call asks for a reply.
	messageCall messageType = 1 // call
	// A reply holds the result of a call: its return value or an exception that the method declares.
	messageReply messageType = 2 // reply
	// An exception is the reply to a call that the service can't handle.
	messageException messageType = 3 // exception
	// A oneway message is a call that has no reply.
	messageOneway messageType = 4 // oneway
)

// The first word of a strict message holds the version; its lowest byte is the message's type.
const (
	strictVersion = 0x80010000
	versionMask   = 0xffffff00
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

// messageHeader is the beginning of a message; the struct of its arguments follows.
type messageHeader struct {
	messageType messageType
	method      string
	sequenceID  uint32
}

// messageHeader decodes the header at the beginning of a message.
func (d *decoder) messageHeader() (messageHeader, error) {
	firstWord := d.uint32()
	method := d.byteString()
	sequenceID := d.uint32()
	switch {
	case d.err != nil:
		return messageHeader{}, d.err
	case firstWord&versionMask != strictVersion:
		return messageHeader{}, errBadVersion
	case len(method) > maxMethodNameBytes:
		return messageHeader{}, errMethodNameTooLong
	}
	return messageHeader{messageType: messageType(firstWord), method: string(method), sequenceID: sequenceID}, nil
}

// describe returns the type's name for errors, which stand in the log.
func (t messageType) describe() string {
	if t < messageCall || t > messageOneway {
		return fmt.Sprintf("message type %d", byte(t))
	}
	return t.String()
}

// handleMessage handles the message in a frame. An error says how the message violates the protocol.
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
		return nil // it has no reply, whatever its method
	}
	return fmt.Errorf("%w: %v %q", errUnexpectedMessage, header.messageType.describe(), header.method)
}
