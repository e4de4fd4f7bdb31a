package discovery

import (
	"encoding/binary"
	"fmt"
	"strings"
)

// Limits for one name.
const (
	// maxNameLength bounds the length of the decoded text, in bytes. RFC 1035 section 2.3.4 applies the same limit to
	// the encoded name, which is two bytes longer, so names that exceed the RFC's limit by one or two bytes are
	// accepted.
	maxNameLength = 255
	// maxPointers bounds the number of pointers that are followed for one name. RFC 1035 has no such limit; maxPointers
	// ends pointer loops.
	maxPointers = 16
)

// Encoding of compressed names, RFC 1035 section 4.1.4.
const (
	labelTypeMask     = 0xc0   // the two highest bits of a label's first byte, which hold its type
	labelTypePointer  = 0xc0   // the type of a pointer; type 0 is a plain label, other types are reserved
	pointerOffsetMask = 0x3fff // the bits of a pointer that hold the offset of its target
	pointerLength     = 2      // in bytes
)

// parseName decodes the name at offset, which may be compressed. It returns the name in lower case and without the
// final dot, and the offset after the name in the message. It fails with errMalformed.
func parseName(message []byte, offset int) (name string, next int, err error) {
	var labels []byte
	pointersFollowed := 0
	for {
		if offset >= len(message) {
			return "", 0, fmt.Errorf("%w: name continues after the end of the message", errMalformed)
		}
		length := message[offset]
		switch {
		case length == 0: // the empty root label ends the name
			if pointersFollowed == 0 {
				next = offset + 1
			}
			return strings.ToLower(string(labels)), next, nil
		case length&labelTypeMask == labelTypePointer:
			if pointersFollowed == 0 {
				next = offset + pointerLength
			}
			pointersFollowed++
			offset, err = followPointer(message, offset)
			if err != nil || pointersFollowed > maxPointers {
				return "", 0, fmt.Errorf("%w: name has an invalid pointer or more than %d pointers",
					errMalformed, maxPointers)
			}
		case length&labelTypeMask != 0: // a reserved label type
			return "", 0, fmt.Errorf("%w: label type %#x is reserved", errMalformed, length&labelTypeMask)
		default:
			labels, offset, err = appendLabel(labels, message, offset)
			if err != nil {
				return "", 0, err
			}
		}
	}
}

// appendLabel appends the label at offset to name, preceded by a dot unless name is empty. It returns the extended name
// and the offset after the label. It fails with errMalformed.
func appendLabel(name, message []byte, offset int) (extended []byte, next int, err error) {
	length := int(message[offset])
	start := offset + 1
	end := start + length
	if end > len(message) || len(name)+length+1 > maxNameLength {
		return nil, 0, fmt.Errorf("%w: label of %d bytes exceeds the message, or its name exceeds %d bytes",
			errMalformed, length, maxNameLength)
	}
	if len(name) > 0 {
		name = append(name, '.')
	}
	return append(name, message[start:end]...), end, nil
}

// followPointer returns the target of the pointer at offset. It fails with errMalformed unless the target is before the
// pointer. This check excludes a pointer to itself, but not a loop: the labels from the target onwards may lead to the
// same pointer again. maxPointers and maxNameLength end such a loop.
func followPointer(message []byte, offset int) (int, error) {
	if offset+pointerLength > len(message) {
		return 0, errMalformed
	}
	target := int(binary.BigEndian.Uint16(message[offset:]) & pointerOffsetMask)
	if target >= offset {
		return 0, errMalformed
	}
	return target, nil
}
