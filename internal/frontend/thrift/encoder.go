package thrift

import "encoding/binary"

// appendHeaders appends the frame's header and the message's header to b, which must be empty. The caller appends the
// struct of the arguments or of the result, and then calls setFrameLength to set the length in the frame's header.
func appendHeaders(b []byte, t messageType, method string, sequenceID uint32) []byte {
	b = append(b, make([]byte, frameHeaderBytes)...)
	b = appendUint32(b, strictVersion|uint32(t))
	b = appendString(b, method)
	return appendUint32(b, sequenceID)
}

// setFrameLength writes the frame's length into the frame's header at the front of b. b holds the whole frame except
// for its last extraBytes bytes, which are sent after b.
func setFrameLength(b []byte, extraBytes int) {
	binary.BigEndian.PutUint32(b, uint32(len(b)-frameHeaderBytes+extraBytes))
}

// appendFieldHeader appends the header of a struct's field. The caller appends the field's value and, after the last
// field, typeStop.
func appendFieldHeader(b []byte, fieldID uint16, t valueType) []byte {
	return binary.BigEndian.AppendUint16(append(b, byte(t)), fieldID)
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

// appendStringMap appends a map of strings, given as alternating names and values.
func appendStringMap(b []byte, namesAndValues ...string) []byte {
	b = append(b, byte(typeString), byte(typeString))
	b = appendUint32(b, uint32(len(namesAndValues)/2))
	for _, s := range namesAndValues {
		b = appendString(b, s)
	}
	return b
}
