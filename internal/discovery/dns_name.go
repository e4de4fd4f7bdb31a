package discovery

import (
	"encoding/binary"
	"strings"
)

// Bounds on one name.
const (
	maxNameLength = 255
	maxPointers   = 16
)

// Compressed names, RFC 1035 section 4.1.4.
const (
	pointerTag    = 0xc0   // the two highest bits of a label's length that make it a pointer
	pointerOffset = 0x3fff // the bits of a pointer that are its offset
	pointerLength = 2
)

// parseName returns the name at offset, compressed or not, in lower case; next is the offset of what follows it.
func parseName(message []byte, offset int) (name string, next int, err error) {
	var labels []byte
	for pointers := 0; ; {
		if offset >= len(message) {
			return "", 0, errMalformed
		}
		length := int(message[offset])
		switch end := offset + 1 + length; {
		case length == 0:
			if pointers == 0 {
				next = offset + 1
			}
			return strings.ToLower(string(labels)), next, nil
		case length&pointerTag == pointerTag:
			if pointers == 0 {
				next = offset + pointerLength
			}
			pointers++
			offset, err = followPointer(message, offset)
			if err != nil || pointers > maxPointers {
				return "", 0, errMalformed
			}
		case length&pointerTag != 0 || end > len(message) || len(labels)+length+1 > maxNameLength:
			return "", 0, errMalformed
		default:
			if len(labels) > 0 {
				labels = append(labels, '.')
			}
			labels = append(labels, message[offset+1:end]...)
			offset = end
		}
	}
}

// followPointer returns where the pointer at offset leads. It must lead back, so that no loop is followed.
func followPointer(message []byte, offset int) (int, error) {
	if offset+pointerLength > len(message) {
		return 0, errMalformed
	}
	target := int(binary.BigEndian.Uint16(message[offset:]) & pointerOffset)
	if target >= offset {
		return 0, errMalformed
	}
	return target, nil
}
