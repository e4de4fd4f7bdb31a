package thrift

import "encoding/binary"

// appendFrame begins a frame in b, which must be empty: the frame's header, whose length setFrameLength fills in, and the
// message's header. The struct of the arguments or of the result follows.
func appendFrame(b []byte, t messageType, method string, sequenceID uint32) []byte {
	b = append(b, make([]byte, frameHeaderBytes)...)
	b = appendUint32(b, strictVersion|uint32(t))
	b = appendString(b, method)
	return appendUint32(b, sequenceID)
}

// setFrameLength writes the length into the header at the front of b. b is the frame, complete but for the extraBytes that
// are sent after it.
func setFrameLength(b []byte, extraBytes int) {
	binary.BigEndian.PutUint32(b, uint32(len(b)-frameHeaderBytes+extraBytes))
}

// appendFieldHeader begins a struct's field; its value follows. After the last field, typeStop ends the struct.
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

// appendStringMap appends a map of strings, given as names and values in turn.
func appendStringMap(b []byte, namesAndValues ...string) []byte {
	b = append(b, byte(typeString), byte(typeString))
	b = appendUint32(b, uint32(len(namesAndValues)/2))
	for _, s := range namesAndValues {
		b = appendString(b, s)
	}
	return b
}
