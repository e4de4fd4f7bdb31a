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

// The limits on what one message may make the decoder do and keep. The messages of the service stay below them.
const (
	maxMethodNameBytes = 64   // a name is copied into the reply to an unknown method
	maxRequestFields   = 64   // in the map of a request, which is allocated before they are decoded
	maxNesting         = 8    // structs and containers around a value; skip recurses for each
	maxElements        = 1024 // in a map, set or list that is skipped: its count is not compared with the message's length
)

// decoder decodes values from the front of a message, in place: the byte slices that it returns point into the message.
// After the first failure it returns zero values, so that err need not be checked after each of them.
type decoder struct {
	remaining []byte // the part of the message that is not decoded yet
	err       error  // the first failure, a violation of the protocol
}

// fail records the first failure and discards the rest of the message.
func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
	d.remaining = nil
}

// next returns the next n bytes, or nil if there are fewer or n is negative: that is a failure.
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

// byteString decodes a string or binary value. A length that is negative or beyond the message is a failure.
func (d *decoder) byteString() []byte { return d.next(int(int32(d.uint32()))) }

// structFields calls decode for each field of the struct that comes next, that of a message's arguments: nothing is around
// it. decode either decodes the field's value and returns true, or it decodes nothing and returns false: then structFields
// skips the value. A field that occurs twice is decoded twice. structFields returns the decoder's first failure.
func (d *decoder) structFields(decode func(fieldID uint16, t valueType) bool) error {
	for d.err == nil {
		t := d.valueType()
		if t == typeStop {
			break
		}
		fieldID := d.uint16()
		if d.err == nil && !decode(fieldID, t) {
			d.skip(t, 1) // the struct is around the value
		}
	}
	return d.err
}

// stringMap decodes a map of strings: the keys are copied, the values point into the message. If a key occurs twice,
// its last value counts. The types of an empty map have no meaning.
func (d *decoder) stringMap() map[string][]byte {
	keyType := d.valueType()
	elementType := d.valueType()
	count := d.uint32()
	if count > maxRequestFields {
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

// skip passes over a value. nesting is the number of structs and containers around it.
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

// skipStruct passes over a struct. nesting is the number of structs and containers around it.
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

// skipElements passes over a container's count and its elements. An element holds one value of each of the types: one in
// a set or list, a key and a value in a map.
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
