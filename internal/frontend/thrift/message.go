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

// The field IDs of the methods' arguments.
const (
	executeFieldsField       = 1
	executeBodyField         = 2
	interruptSequenceIDField = 1
)

// messageHeader is the beginning of a message; the struct of its arguments follows.
type messageHeader struct {
	messageType messageType
	method      string
	sequenceID  uint32
}

// decodeHeader decodes the header at the beginning of a message. An error is a violation of the protocol. The type of the
// message may be any number.
func (d *decoder) decodeHeader() (messageHeader, error) {
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

// describe returns the type's name for errors, which stand in the log. It differs from String for numbers that are no type:
// operators search the log for this text.
func (t messageType) describe() string {
	if t < messageCall || t > messageOneway {
		return fmt.Sprintf("message type %d", byte(t))
	}
	return t.String()
}

// handleMessage handles the message in a frame. An error says how the message violates the protocol. An interrupt may
// be a oneway message or a call; any other oneway message is ignored.
func (c *connection) handleMessage(frame []byte) error {
	d := &decoder{remaining: frame}
	header, err := d.decodeHeader()
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
		return nil // nothing to reply to, whatever its method: execute and check too
	}
	return fmt.Errorf("%w: %v %q", errUnexpectedMessage, header.messageType.describe(), header.method)
}
