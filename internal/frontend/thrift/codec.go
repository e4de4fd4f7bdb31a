package thrift

import (
	"encoding/binary"
	"fmt"
)

// valueType is a type of value in the binary protocol.
type valueType byte

// The types of values, from the Apache Thrift specification, "Thrift Binary protocol encoding". Strings and binary
// values share a type.
const (
	typeStop   valueType = 0 // ends a struct
	typeBool   valueType = 2
	typeByte   valueType = 3
	typeDouble valueType = 4
	typeI16    valueType = 6
	typeI32    valueType = 8
	typeI64    valueType = 10
	typeString valueType = 11
	typeStruct valueType = 12
	typeMap    valueType = 13
	typeSet    valueType = 14
	typeList   valueType = 15
)

// messageType is the kind of a message.
type messageType byte

// The types of messages, from the same specification.
const (
	messageCall      messageType = 1
	messageReply     messageType = 2
	messageException messageType = 3
	messageOneway    messageType = 4
)

// String returns the specification's name.
func (t messageType) String() string {
	switch t {
	case messageCall:
		return "call"
	case messageReply:
		return "reply"
	case messageException:
		return "exception"
	case messageOneway:
		return "oneway"
	}
	return fmt.Sprintf("message type %d", byte(t))
}

// The first word of a strict message holds the version; its lowest byte is the message's type.
const (
	strictVersion = 0x80010000
	versionMask   = 0xffffff00
)

// The limits on what a client may send.
const (
	maxMethodNameBytes = 64
	maxFields          = 64 // in the map of a request
	maxNesting         = 8
	maxElements        = 1024 // in a map, set or list that is skipped
)

// decoder decodes values from the front of a message, in place. After the first failure it returns zero values, and
// err says what was wrong.
type decoder struct {
	remaining []byte
	err       error
}

func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
	d.remaining = nil
}

// next returns the next n bytes, or nil where there are fewer.
func (d *decoder) next(n int) []byte {
	if n < 0 || n > len(d.remaining) {
		d.fail(errTruncated)
		return nil
	}
	b := d.remaining[:n:n]
	d.remaining = d.remaining[n:]
	return b
}

func (d *decoder) uint8() byte {
	if b := d.next(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *decoder) uint16() uint16 {
	if b := d.next(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (d *decoder) uint32() uint32 {
	if b := d.next(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (d *decoder) valueType() valueType { return valueType(d.uint8()) }

// byteString decodes a string or binary value. A length beyond the message fails before anything is allocated.
func (d *decoder) byteString() []byte { return d.next(int(int32(d.uint32()))) }

// messageHeader is the beginning of a message; the struct of its arguments follows.
type messageHeader struct {
	messageType messageType
	method      string
	sequenceID  uint32
}

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

// structFields calls decode for each field of the struct that comes next. decode either decodes the field's value or
// returns false to have it skipped.
func (d *decoder) structFields(decode func(id uint16, t valueType) bool) error {
	for d.err == nil {
		t := d.valueType()
		if t == typeStop {
			break
		}
		id := d.uint16()
		if d.err == nil && !decode(id, t) {
			d.skip(t, 1)
		}
	}
	return d.err
}

// stringMap decodes a map of strings. The values point into the message.
func (d *decoder) stringMap() map[string][]byte {
	keyType := d.valueType()
	elementType := d.valueType()
	count := d.uint32()
	if count > maxFields {
		d.fail(errTooManyElements)
		return nil
	}
	if count > 0 && (keyType != typeString || elementType != typeString) {
		d.fail(errNotStringMap)
		return nil
	}
	values := make(map[string][]byte, count)
	for range count {
		key := d.byteString()
		value := d.byteString()
		if d.err != nil {
			return nil
		}
		values[string(key)] = value
	}
	return values
}

// skip passes over a value. nesting is how many structs and containers it is in.
func (d *decoder) skip(t valueType, nesting int) {
	if nesting > maxNesting {
		d.fail(errNestedTooDeep)
	}
	if d.err != nil {
		return
	}
	switch t {
	case typeBool, typeByte:
		d.next(1)
	case typeI16:
		d.next(2)
	case typeI32:
		d.next(4)
	case typeI64, typeDouble:
		d.next(8)
	case typeString:
		d.byteString()
	case typeStruct:
		d.skipStruct(nesting)
	case typeMap:
		keyType := d.valueType()
		d.skipElements(nesting, keyType, d.valueType())
	case typeSet, typeList:
		d.skipElements(nesting, d.valueType())
	default:
		d.fail(fmt.Errorf("%w %d", errUnknownType, t))
	}
}

func (d *decoder) skipStruct(nesting int) {
	for d.err == nil {
		t := d.valueType()
		if t == typeStop {
			return
		}
		d.uint16() // the field's ID
		d.skip(t, nesting+1)
	}
}

// skipElements passes over the count of a container and its elements, each of which holds a value of each of types.
func (d *decoder) skipElements(nesting int, types ...valueType) {
	count := d.uint32()
	if count > maxElements {
		d.fail(errTooManyElements)
		return
	}
	for range count {
		for _, t := range types {
			d.skip(t, nesting+1)
		}
	}
}

// appendFrame begins a frame: the header, whose length setFrameLength fills in, and the header of a message.
func appendFrame(b []byte, t messageType, method string, sequenceID uint32) []byte {
	b = append(b, make([]byte, frameHeaderBytes)...)
	b = appendUint32(b, strictVersion|uint32(t))
	b = appendString(b, method)
	return appendUint32(b, sequenceID)
}

// setFrameLength writes the length into the header of a frame that holds extraBytes more than b.
func setFrameLength(b []byte, extraBytes int) {
	binary.BigEndian.PutUint32(b, uint32(len(b)-frameHeaderBytes+extraBytes))
}

func appendFieldHeader(b []byte, id uint16, t valueType) []byte {
	return binary.BigEndian.AppendUint16(append(b, byte(t)), id)
}

func appendUint32(b []byte, value uint32) []byte { return binary.BigEndian.AppendUint32(b, value) }

func appendBool(b []byte, value bool) []byte {
	if value {
		return append(b, 1)
	}
	return append(b, 0)
}

func appendString(b []byte, value string) []byte {
	return append(appendUint32(b, uint32(len(value))), value...)
}

// appendStringMap appends a map of strings, given as names and values in turn.
func appendStringMap(b []byte, namesAndValues ...string) []byte {
	b = append(b, byte(typeString), byte(typeString))
	b = appendUint32(b, uint32(len(namesAndValues)/2))
	for _, s := range namesAndValues {
		b = appendString(b, s)
	}
	return b
}
