package thrift

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// valueType is a type of value in the binary protocol.
type valueType byte

// The value types of the Apache Thrift specification, "Thrift Binary protocol encoding". Strings and binary values have
// the same type.
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

// The limits on the work and the memory that one message can cost the decoder. Valid messages of the service stay below
// them.
const (
	maxMethodNameBytes = 64   // the reply to a call of an unknown method repeats the name
	maxRequestFields   = 64   // entries in the map of a request, which is allocated before the entries are decoded
	maxArguments       = 2    // arguments of a method
	maxNesting         = 8    // structs and containers around a value; skip recurses once for each
	maxElements        = 1024 // elements of a skipped container, whose count is not compared with the message's length
)

// decoder decodes values from the front of a message in place: the byte slices that it returns point into the message.
// After the first failure all its methods return zero values, so that callers need not check err after each value.
type decoder struct {
	remaining []byte // the part of the message that is not decoded yet
	err       error  // the first failure, a protocol violation
}

// fail records the first failure and discards the rest of the message.
func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
	d.remaining = nil
}

// next returns the next n bytes. If n is negative or fewer than n bytes remain, it records a failure and returns nil.
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

// byteString decodes a string or binary value. It records a failure if the length is negative or exceeds the rest of
// the message.
func (d *decoder) byteString() []byte { return d.next(int(int32(d.uint32()))) }

// messageArguments decodes the struct of a method's arguments like structFields, and the end of the message. It records
// a failure if bytes follow the struct: the frame's length is wrong, and the bytes may belong to another message.
func (d *decoder) messageArguments(decode func(fieldID uint16, t valueType) bool) error {
	_ = d.structFields(decode) // a failure is kept in d.err
	if len(d.remaining) > 0 {
		d.fail(fmt.Errorf("%w: %d", errTrailingBytes, len(d.remaining)))
	}
	return d.err
}

// structFields decodes the outermost struct of a message, such as the arguments of a method, and calls decode for each
// field. decode either decodes the field's value and returns true, or decodes nothing and returns false; structFields
// then skips the value. A field must not occur twice. structFields returns the decoder's first failure.
func (d *decoder) structFields(decode func(fieldID uint16, t valueType) bool) error {
	decoded := make([]uint16, 0, maxArguments)
	for d.err == nil {
		t := d.valueType()
		if t == typeStop {
			break
		}
		fieldID := d.uint16()
		switch {
		case d.err != nil:
		case slices.Contains(decoded, fieldID):
			d.fail(fmt.Errorf("%w: field %d", errDuplicateField, fieldID))
		case decode(fieldID, t):
			decoded = append(decoded, fieldID)
		default:
			d.skip(t, 1) // only the outermost struct encloses the value
		}
	}
	return d.err
}

// stringMap decodes the map of a request's fields. It copies the keys, and the values point into the message. A key must
// not occur twice. The key and value types of an empty map are not checked.
func (d *decoder) stringMap() map[string][]byte {
	keyType := d.valueType()
	mapValueType := d.valueType()
	count := d.uint32()
	if count > maxRequestFields {
		d.fail(fmt.Errorf("%w: %d request fields, limit %d", errTooManyElements, count, maxRequestFields))
		return nil
	}
	if count > 0 && (keyType != typeString || mapValueType != typeString) {
		d.fail(fmt.Errorf("%w: key type %d, value type %d", errNotStringMap, keyType, mapValueType))
		return nil
	}
	values := make(map[string][]byte, count)
	for range count {
		key := d.byteString()
		value := d.byteString()
		if d.err != nil {
			return nil
		}
		if _, duplicate := values[string(key)]; duplicate {
			d.fail(fmt.Errorf("%w: key %.32q", errDuplicateField, key))
			return nil
		}
		values[string(key)] = value
	}
	return values
}

// skip advances past a value of type t. nesting is the number of structs and containers that enclose the value.
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

// skipStruct advances past a struct. nesting is the number of structs and containers that enclose the struct.
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

// skipElements advances past a container's count and its elements. nesting is the number of structs and containers that
// enclose the container. An element holds one value of each of the types: one type for a set or a list, the key type
// and the value type for a map.
func (d *decoder) skipElements(nesting int, types ...valueType) {
	count := d.uint32()
	if count > maxElements {
		d.fail(fmt.Errorf("%w: %d in a skipped container, limit %d", errTooManyElements, count, maxElements))
		return
	}
	for range count {
		for _, t := range types {
			d.skip(t, nesting+1)
		}
	}
}
