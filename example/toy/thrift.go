package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Constants of Thrift's strict binary protocol and framed transport that a call needs. Package internal/frontend/thrift
// describes the service.
const (
	thriftFrameHeaderBytes = 4 // length of the frame
	thriftLengthBytes      = 4 // size of a length, the widest number that the decoder reads
	thriftVersionCall      = 0x80010001
	thriftVersionReply     = 0x80010002

	thriftTypeStop   = 0
	thriftTypeBool   = 2
	thriftTypeString = 11
	thriftTypeStruct = 12
	thriftTypeMap    = 13
)

// maxAnswerBytes limits the bytes of an answer that are read. A longer answer is truncated and therefore malformed.
const maxAnswerBytes = 1 << 16

// errMalformedAnswer is returned, alone or wrapped, for a frame that decodeAnswer can't decode.
var errMalformedAnswer = errors.New("malformed answer")

// answerStatuses contains the status for each field ID that a result can have: 0 for an Answer, 1 for a Backoff and 2
// for a Lost.
var answerStatuses = []string{"served", "refused", "failed"}

// field is an entry in the map of fields of a call or an answer.
type field struct {
	name  string
	value string
}

// encodeExecuteFrame encodes a call of execute(1: map<string, string> fields, 2: binary body), including its frame
// header.
func encodeExecuteFrame(fields []field, body string) []byte {
	b := make([]byte, thriftFrameHeaderBytes)
	b = binary.BigEndian.AppendUint32(b, thriftVersionCall)
	b = appendThriftString(b, "execute")
	b = binary.BigEndian.AppendUint32(b, 1) // the sequence ID
	b = append(b, thriftTypeMap, 0, 1, thriftTypeString, thriftTypeString)
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)))
	for _, f := range fields {
		b = appendThriftString(b, f.name)
		b = appendThriftString(b, f.value)
	}
	b = append(b, thriftTypeString, 0, 2)
	b = appendThriftString(b, body)
	b = append(b, thriftTypeStop)
	binary.BigEndian.PutUint32(b, uint32(len(b)-thriftFrameHeaderBytes))
	return b
}

// appendThriftString appends the length of a string and the string.
func appendThriftString(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
	return append(b, s...)
}

// readFrame reads one frame and returns it without its header.
func readFrame(r io.Reader) ([]byte, error) {
	var header [thriftFrameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	frame := make([]byte, min(binary.BigEndian.Uint32(header[:]), maxAnswerBytes))
	if _, err := io.ReadFull(r, frame); err != nil {
		return nil, err
	}
	return frame, nil
}

// decodeAnswer decodes the reply to a call of execute. The reply contains a result with one struct, whose field ID
// determines the status.
func decodeAnswer(frame []byte) (answer, error) {
	d := thriftDecoder{rest: frame}
	if version := d.readUint32(); version != thriftVersionReply {
		return answer{}, fmt.Errorf("%w: version %#x is not that of a reply", errMalformedAnswer, version)
	}
	d.readBytes()  // the method's name
	d.readUint32() // the sequence ID
	valueType, id := d.readFieldHeader()
	if valueType != thriftTypeStruct || int(id) >= len(answerStatuses) {
		return answer{}, fmt.Errorf("%w: the result has type %d and field ID %d, want type %d and an ID below %d",
			errMalformedAnswer, valueType, id, thriftTypeStruct, len(answerStatuses))
	}
	a := answer{status: answerStatuses[id]}
	d.readAnswerFields(&a)
	if d.malformed {
		return answer{}, errMalformedAnswer
	}
	return a, nil
}

// readAnswerFields reads the struct fields of an Answer, a Backoff or a Lost into a, up to the end of the struct.
func (d *thriftDecoder) readAnswerFields(a *answer) {
	for !d.malformed {
		switch valueType, _ := d.readFieldHeader(); valueType {
		case thriftTypeStop:
			return
		case thriftTypeString:
			a.body = d.readBytes()
		case thriftTypeMap:
			a.fields = d.readFieldMap()
		case thriftTypeBool:
			d.take(1)
		default:
			d.malformed = true
		}
	}
}

// thriftDecoder reads values from the front of rest. If a value is missing, the decoder sets malformed and returns
// zero.
type thriftDecoder struct {
	rest      []byte
	malformed bool
}

// take removes and returns the next length bytes. If fewer remain, it sets malformed and returns zeros. It returns at
// most thriftLengthBytes zeros, enough for any number, so that a malformed length can't cause a large allocation.
func (d *thriftDecoder) take(length int) []byte {
	if length > len(d.rest) {
		d.malformed = true
		return make([]byte, min(length, thriftLengthBytes))
	}
	taken := d.rest[:length]
	d.rest = d.rest[length:]
	return taken
}

func (d *thriftDecoder) readUint32() uint32 {
	return binary.BigEndian.Uint32(d.take(thriftLengthBytes))
}

// readBytes reads a length and the string or binary that follows it.
func (d *thriftDecoder) readBytes() []byte { return d.take(int(d.readUint32())) }

// readFieldHeader reads the type and the ID of the next field of a struct. The end of the struct has no ID.
func (d *thriftDecoder) readFieldHeader() (valueType byte, id uint16) {
	valueType = d.take(1)[0]
	if valueType == thriftTypeStop {
		return valueType, 0
	}
	return valueType, binary.BigEndian.Uint16(d.take(2))
}

// readFieldMap reads a map from names to values. If the map is malformed, the last field may be incomplete.
func (d *thriftDecoder) readFieldMap() (fields []field) {
	d.take(2) // the types of the names and the values
	for count := d.readUint32(); count > 0 && !d.malformed; count-- {
		name := string(d.readBytes())
		fields = append(fields, field{name: name, value: string(d.readBytes())})
	}
	return fields
}
