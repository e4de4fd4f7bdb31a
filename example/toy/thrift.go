package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// The parts of Thrift's strict binary protocol and framed transport that a call needs. The service is described in
// package internal/frontend/thrift.
const (
	thriftFrameHeader  = 4 // bytes: the frame's length
	thriftLengthSize   = 4 // bytes of a length, the widest number that is read
	thriftVersionCall  = 0x80010001
	thriftVersionReply = 0x80010002

	thriftTypeStop   = 0
	thriftTypeBool   = 2
	thriftTypeString = 11
	thriftTypeStruct = 12
	thriftTypeMap    = 13
)

// maxAnswerBytes is the most bytes of an answer that are read. A longer answer is cut off, which makes it malformed.
const maxAnswerBytes = 1 << 16

var errMalformedAnswer = errors.New("malformed data")

// answerStatuses are the results of execute, by the ID of the field that is set: 0 is Answer, 1 Backoff and 2 Lost.
var answerStatuses = []string{"served", "refused", "failed"}

// field is an entry of the fields of a call or an answer.
type field struct {
	name  string
	value string
}

// executeFrame is a call of execute(1: map<string, string> fields, 2: binary body), with its frame header.
func executeFrame(fields []field, body string) []byte {
	b := make([]byte, thriftFrameHeader)
	b = binary.BigEndian.AppendUint32(b, thriftVersionCall)
	b = appendThriftString(b, "execute")
	b = binary.BigEndian.AppendUint32(b, 1) // the sequence number
	b = append(b, thriftTypeMap, 0, 1, thriftTypeString, thriftTypeString)
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)))
	for _, f := range fields {
		b = appendThriftString(b, f.name)
		b = appendThriftString(b, f.value)
	}
	b = append(b, thriftTypeString, 0, 2)
	b = appendThriftString(b, body)
	b = append(b, thriftTypeStop)
	binary.BigEndian.PutUint32(b, uint32(len(b)-thriftFrameHeader))
	return b
}

// appendThriftString appends a string behind its length.
func appendThriftString(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
	return append(b, s...)
}

// readFrame reads one frame without its header.
func readFrame(r io.Reader) ([]byte, error) {
	var header [thriftFrameHeader]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	frame := make([]byte, min(binary.BigEndian.Uint32(header[:]), maxAnswerBytes))
	if _, err := io.ReadFull(r, frame); err != nil {
		return nil, err
	}
	return frame, nil
}

// decodeAnswer decodes the reply to an execute: a result that holds one struct, whose field ID gives the status.
func decodeAnswer(frame []byte) (answer, error) {
	d := thriftDecoder{rest: frame}
	if version := d.uint32(); version != thriftVersionReply {
		return answer{}, fmt.Errorf("%w: %#x begins no reply", errMalformedAnswer, version)
	}
	d.bytes()  // the method's name
	d.uint32() // the sequence number
	valueType, id := d.fieldHeader()
	if valueType != thriftTypeStruct || int(id) >= len(answerStatuses) {
		return answer{}, fmt.Errorf("%w: a result of type %d in field %d", errMalformedAnswer, valueType, id)
	}
	a := answer{status: answerStatuses[id]}
	d.answerFields(&a)
	if d.malformed {
		return answer{}, errMalformedAnswer
	}
	return a, nil
}

// answerFields reads the fields of an Answer, a Backoff or a Lost, up to its end.
func (d *thriftDecoder) answerFields(a *answer) {
	for !d.malformed {
		switch valueType, _ := d.fieldHeader(); valueType {
		case thriftTypeStop:
			return
		case thriftTypeString:
			a.body = d.bytes()
		case thriftTypeMap:
			a.fields = d.fieldMap()
		case thriftTypeBool:
			d.take(1)
		default:
			d.malformed = true
		}
	}
}

// thriftDecoder reads values from the front of rest. Values that are missing set malformed and read as zero.
type thriftDecoder struct {
	rest      []byte
	malformed bool
}

// take returns the next bytes. If they are missing, it returns zeros: enough for a number, whatever length was asked for.
func (d *thriftDecoder) take(length int) []byte {
	if length > len(d.rest) {
		d.malformed = true
		return make([]byte, min(length, thriftLengthSize))
	}
	taken := d.rest[:length]
	d.rest = d.rest[length:]
	return taken
}

func (d *thriftDecoder) uint32() uint32 { return binary.BigEndian.Uint32(d.take(thriftLengthSize)) }

// bytes reads a string or binary behind its length.
func (d *thriftDecoder) bytes() []byte { return d.take(int(d.uint32())) }

// fieldHeader reads the type of a struct's next field and its ID. The end of the struct has no ID.
func (d *thriftDecoder) fieldHeader() (valueType byte, id uint16) {
	valueType = d.take(1)[0]
	if valueType == thriftTypeStop {
		return valueType, 0
	}
	return valueType, binary.BigEndian.Uint16(d.take(2))
}

// fieldMap reads a map from names to values. The last field is incomplete if the map is malformed.
func (d *thriftDecoder) fieldMap() (fields []field) {
	d.take(2) // the types of names and values
	for count := d.uint32(); count > 0 && !d.malformed; count-- {
		name := string(d.bytes())
		fields = append(fields, field{name: name, value: string(d.bytes())})
	}
	return fields
}
