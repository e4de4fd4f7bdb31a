package backend

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Limits on a worker's answers, in bytes unless stated otherwise. They bound the memory that one connection can buffer.
const (
	// maxBulkSize is the limit on one bulk string. The longest bulk string is a body of 16 KiB; 64 bytes are a margin.
	maxBulkSize = 16<<10 + 64
	// maxAnswerSize is the limit on an answer without its final CRLF: a body, and 4 KiB for the other elements.
	maxAnswerSize = maxBulkSize + 4<<10
	// maxElements is the limit on the number of array elements. The elements of a longer array are not waited for.
	maxElements = answerElements
	// maxLengthLine is the limit on a line such as "*4" or "$16384" with its CRLF. The longest line that the other
	// limits allow has 8 bytes.
	maxLengthLine = 12
	// minLengthLine is the size of the shortest such line.
	minLengthLine = len("*0\r\n")
)

// headerCapacity is the capacity in bytes with which a command's header is allocated. A header with a class name of up
// to 60 bytes fits without reallocation.
const headerCapacity = 160

// The first byte of a RESP value gives its type.
const (
	arrayTypeByte      = '*'
	bulkStringTypeByte = '$'
)

// crlf terminates each length line and each bulk string. It must not be modified.
var crlf = []byte("\r\n")

// errMalformedAnswer means that a worker violated the protocol. All errors of the functions in codec.go and answer.go
// wrap it. "Fails with errMalformedAnswer" means that errors.Is reports true for the returned error.
var errMalformedAnswer = errors.New("malformed answer")

// malformedAnswerf returns an error that wraps errMalformedAnswer and contains the formatted reason.
func malformedAnswerf(format string, arguments ...any) error {
	return fmt.Errorf("%w: %s", errMalformedAnswer, fmt.Sprintf(format, arguments...))
}

// decodeArray decodes the RESP array of bulk strings at the beginning of b. It appends the array's elements, which are
// slices of b, to elements, and returns the extended slice and the array's size in bytes. If the array is incomplete,
// it returns nil and 0. If the array is malformed, it fails with errMalformedAnswer. Each length is checked when its
// line is complete, before the bulk string arrives, so that a worker can't make the router buffer an unlimited number
// of bytes.
func decodeArray(b []byte, elements [][]byte) ([][]byte, int, error) {
	count, offset, err := decodeLengthLine(b, 0, arrayTypeByte, maxElements)
	if err != nil || offset == 0 {
		return nil, 0, err
	}
	for range count {
		size, bulkStart, err := decodeLengthLine(b, offset, bulkStringTypeByte, maxBulkSize)
		if err != nil || bulkStart == 0 {
			return nil, 0, err
		}
		bulkEnd := bulkStart + size
		if bulkEnd > maxAnswerSize {
			return nil, 0, malformedAnswerf("answer is longer than %d bytes", maxAnswerSize)
		}
		if len(b) < bulkEnd+len(crlf) {
			return nil, 0, nil
		}
		if !bytes.HasPrefix(b[bulkEnd:], crlf) {
			return nil, 0, malformedAnswerf("bulk string of %d bytes is not followed by CRLF", size)
		}
		elements = append(elements, b[bulkStart:bulkEnd])
		offset = bulkEnd + len(crlf)
	}
	return elements, offset, nil
}

// decodeLengthLine decodes the line that begins at index start of b: typeByte, a decimal number from 0 to limit, and
// CRLF. It returns the number and the index after the line, or 0 for both if the line is incomplete. If the line is
// malformed, it fails with errMalformedAnswer.
func decodeLengthLine(b []byte, start int, typeByte byte, limit int) (number, next int, err error) {
	line := b[start:]
	if len(line) > 0 && line[0] != typeByte {
		return 0, 0, malformedAnswerf("got RESP type %q, want %q", line[0], typeByte)
	}
	newline := bytes.IndexByte(line[:min(len(line), maxLengthLine)], '\n')
	if newline < 0 {
		if len(line) >= maxLengthLine {
			return 0, 0, malformedAnswerf("length line is longer than %d bytes", maxLengthLine)
		}
		return 0, 0, nil
	}
	if newline+1 < minLengthLine || line[newline-1] != '\r' {
		return 0, 0, malformedAnswerf("length line %q has no number or no carriage return", line[:newline+1])
	}
	number, err = parseLength(line[1:newline-1], limit)
	if err != nil {
		return 0, 0, err
	}
	return number, start + newline + 1, nil
}

// parseLength parses a decimal number from 0 to limit without leading zeros. It stops at the first digit that makes the
// number exceed limit, so that the number can't overflow. It fails with errMalformedAnswer if digits is not such a
// number.
func parseLength(digits []byte, limit int) (int, error) {
	if len(digits) > 1 && digits[0] == '0' {
		return 0, malformedAnswerf("length %q has a leading zero", digits)
	}
	number := 0
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, malformedAnswerf("length %q is not a decimal number", digits)
		}
		number = number*10 + int(digit-'0')
		if number > limit {
			return 0, malformedAnswerf("length %q exceeds the limit %d", digits, limit)
		}
	}
	return number, nil
}

// encodeHeader encodes an array of elements and a final bulk string of bodySize bytes, up to the final bulk string's
// length line. The caller writes the body and its CRLF separately, so that the body is not copied.
func encodeHeader(bodySize int, elements ...string) []byte {
	b := appendLengthLine(make([]byte, 0, headerCapacity), arrayTypeByte, len(elements)+1)
	for _, element := range elements {
		b = appendLengthLine(b, bulkStringTypeByte, len(element))
		b = append(b, element...)
		b = append(b, crlf...)
	}
	return appendLengthLine(b, bulkStringTypeByte, bodySize)
}

// encodeCommand encodes an array of the command's name and its arguments.
func encodeCommand(command string, arguments ...string) []byte {
	elements := append([]string{command}, arguments...)
	lastElement := elements[len(elements)-1]
	b := encodeHeader(len(lastElement), elements[:len(elements)-1]...)
	b = append(b, lastElement...)
	return append(b, crlf...)
}

// appendLengthLine appends the first line of an array or a bulk string: its type and its length.
func appendLengthLine(b []byte, typeByte byte, number int) []byte {
	b = append(b, typeByte)
	b = strconv.AppendInt(b, int64(number), 10)
	return append(b, crlf...)
}
