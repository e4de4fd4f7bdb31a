package thrift

import "fmt"

//go:generate go tool -modfile=../../../tools/go.mod stringer -linecomment -output=enum_string.go -type=messageType

// messageType is the type of a message.
type messageType byte

// The message types of the Apache Thrift specification, "Thrift Remote Procedure Call". String returns the
// specification's names.
const (
	// A call requires a reply.
	messageCall messageType = 1 // call
	// A reply holds the result of a call: its return value or an exception that the method declares.
	messageReply messageType = 2 // reply
	// An exception is the reply to a call that the service can't handle.
	messageException messageType = 3 // exception
	// A oneway message is a call that has no reply.
	messageOneway messageType = 4 // oneway
)

// The first 32-bit word of a message in the strict binary protocol holds the version in its upper 24 bits and the
// message type in its lowest byte.
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

// messageHeader is the header of a message. The struct of the arguments or of the result follows it.
type messageHeader struct {
	messageType messageType
	method      string
	sequenceID  uint32
}

// decodeHeader decodes the header at the beginning of a message. It does not check the message type. An error is a
// protocol violation.
func (d *decoder) decodeHeader() (messageHeader, error) {
	firstWord := d.uint32()
	method := d.byteString()
	sequenceID := d.uint32()
	switch {
	case d.err != nil:
		return messageHeader{}, d.err
	case firstWord&versionMask != strictVersion:
		return messageHeader{}, fmt.Errorf("%w: the message starts with %#010x", errBadVersion, firstWord)
	case len(method) > maxMethodNameBytes:
		return messageHeader{}, fmt.Errorf("%w: %d bytes, limit %d",
			errMethodNameTooLong, len(method), maxMethodNameBytes)
	}
	return messageHeader{messageType: messageType(firstWord), method: string(method), sequenceID: sequenceID}, nil
}

// describe returns the text for the type in errors. Operators search the log for this text. Unlike String, it describes
// a number N that is not a message type of the protocol as "message type N".
func (t messageType) describe() string {
	if t < messageCall || t > messageOneway {
		return fmt.Sprintf("message type %d", byte(t))
	}
	return t.String()
}

// handleMessage handles the message in a frame. An error is a protocol violation. An interrupt may be a oneway message
// or a call. A oneway message of an unknown method is ignored; execute and check must be calls, because a client that
// sends them waits for a reply.
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
	case isOneway && header.method != methodExecute && header.method != methodCheck:
		return nil // a oneway message gets no reply
	}
	return fmt.Errorf("%w: %v %q", errUnexpectedMessage, header.messageType.describe(), header.method)
}
