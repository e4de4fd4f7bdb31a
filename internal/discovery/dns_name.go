package discovery

import (
	"encoding/binary"
	"strings"
)

// Limits on one name.
const (
	// maxNameLength bounds the decoded text, in bytes. RFC 1035 section 2.3.4 bounds the name in the message, which is two
	// bytes longer, so that names slightly over the RFC's limit are accepted.
	maxNameLength = 255
	// maxPointers bounds the pointers that are followed for one name. It is no limit of the RFC: it ends loops.
	maxPointers = 16
)

// Compressed names, RFC 1035 section 4.1.4.
const (
	labelTypeMask      = 0xc0   // the two highest bits of a label's length, which tell its type
	labelTypePointer    = 0xc0   // the value of labelTag's bits for a pointer; 0 is a label, others are reserved
	pointerOffsetMask = 0x3fff // the bits of a pointer that are the offset to which it leads
	pointerLength = 2      // bytes
)

// parseName returns the name at offset, compressed or not, in lower case and without the final dot; next is the offset of
// what follows the name in the message. It fails with errMalformed.
func parseName(message []byte, offset int) (name string, next int, err error) {
	var labels []byte
	pointersFollowed := 0
	for {
		if offset >= len(message) {
			return "", 0, errMalformed
		}
		length := message[offset]
		switch {
		case length == 0: // the root ends the name
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
				return "", 0, errMalformed
			}
		case length&labelTypeMask != 0: // reserved
			return "", 0, errMalformed
		default:
			labels, offset, err = appendLabel(labels, message, offset)
			if err != nil {
				return "", 0, err
			}
		}
	}
}

// appendLabel appends the label at offset to name, with a dot in front unless it is the first. It returns the new name and
// the offset of what follows the label, and fails with errMalformed.
func appendLabel(name, message []byte, offset int) (extended []byte, next int, err error) {
	length := int(message[offset])
	start := offset + 1
	end := start + length
	if end > len(message) || len(name)+length+1 > maxNameLength {
		return nil, 0, errMalformed
	}
	if len(name) > 0 {
		name = append(name, '.')
	}
	return append(name, message[start:end]...), end, nil
}

// followPointer returns the offset to which the pointer at offset leads. It fails with errMalformed unless that is before
// the pointer. That excludes a pointer to itself, but not a loop: labels that are read from there may lead to the same
// pointer again. maxPointers and maxNameLength end such a loop.
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
