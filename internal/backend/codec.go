package backend

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Limits on what a worker may send, in bytes unless said otherwise. They bound what one connection can buffer.
const (
	// maxBulkSize is the limit of a bulk string. The longest is a body: 16 KiB, with some bytes to spare.
	maxBulkSize = 16<<10 + 64
	// maxAnswerSize is the limit of a complete answer without its last line end: a body, and 4 KiB for the words beside it.
	maxAnswerSize = maxBulkSize + 4<<10
	// maxElements is the limit on the number of words. An answer has two to four; parseAnswer ignores further ones.
	maxElements = 8
	// maxLengthLine is the limit of a line such as "*4" or "$16384" with its end; the longest within the limits above has
	// 8 bytes.
	maxLengthLine = 12
	// minLengthLine is the length of the shortest such line.
	minLengthLine = len("*0\r\n")
)

// headerCapacity is the capacity in bytes with which a command's header is allocated. A header with a class name of up to 60
// bytes fits without growing.
const headerCapacity = 160

// The first bytes of RESP types.
const (
	arrayTypeByte = '*'
	bulkStringTypeByte  = '$'
)

// crlf ends each line and each bulk string. It is never changed.
var crlf = []byte("\r\n")

// errMalformedAnswer says that a worker broke the protocol. Each error of the functions here and in answer.go wraps it; so
// "fails with errMalformedAnswer" means an error for which errors.Is finds it.
var errMalformedAnswer = errors.New("malformed answer")

// malformedAnswerf returns an error that wraps errMalformedAnswer and gives the formatted reason.
func malformedAnswerf(format string, arguments ...any) error {
	return fmt.Errorf("%w: %s", errMalformedAnswer, fmt.Sprintf(format, arguments...))
}

// decodeArray decodes the RESP array of bulk strings at the beginning of b and appends its words, which point into
// b, to words. It also returns the array's size in bytes. While the array is incomplete, it returns no words and 0. It
// fails with errMalformedAnswer. A length is checked as soon as it is announced, before its bytes have arrived, so that
// what a worker can make the router buffer is bounded.
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
			return nil, 0, malformedAnswerf("answer too long")
		}
		if len(b) < bulkEnd+len(crlf) {
			return nil, 0, nil
		}
		if !bytes.HasPrefix(b[bulkEnd:], crlf) {
			return nil, 0, malformedAnswerf("no line end behind a bulk string")
		}
		elements = append(elements, b[bulkStart:bulkEnd])
		offset = bulkEnd + len(crlf)
	}
	return elements, offset, nil
}

// decodeLengthLine decodes a line of mark and a decimal number up to limit that begins at index start of b. It returns the
// number and the index behind the line, 0 while the line is incomplete. It fails with errMalformedAnswer.
func decodeLengthLine(b []byte, start int, typeByte byte, limit int) (number, next int, err error) {
	line := b[start:]
	if len(line) > 0 && line[0] != typeByte {
		return 0, 0, malformedAnswerf("%q in place of %q", line[0], typeByte)
	}
	newline := bytes.IndexByte(line[:min(len(line), maxLengthLine)], '\n')
	if newline < 0 {
		if len(line) >= maxLengthLine {
			return 0, 0, malformedAnswerf("length line too long")
		}
		return 0, 0, nil
	}
	if newline+1 < minLengthLine || line[newline-1] != '\r' {
		return 0, 0, malformedAnswerf("length line without number or carriage return")
	}
	number, err = parseLength(line[1:newline-1], limit)
	if err != nil {
		return 0, 0, err
	}
	return number, start + newline + 1, nil
}

// parseLength parses a decimal number from 0 to limit. It stops at the digit that exceeds limit, so that no text
// overflows. It fails with errMalformedAnswer.
func parseLength(digits []byte, limit int) (int, error) {
	number := 0
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return 0, malformedAnswerf("length is not a number")
		}
		number = number*10 + int(digit-'0')
		if number > limit {
			return 0, malformedAnswerf("length over %d", limit)
		}
	}
	return number, nil
}

// encodeHeader returns an array of words and one more bulk string of bodySize bytes, without these bytes and
// the line end behind them: the caller writes both separately, so that a body is not copied.
func encodeHeader(bodySize int, elements ...string) []byte {
	b := appendLengthLine(make([]byte, 0, headerCapacity), arrayTypeByte, len(elements)+1)
	for _, element := range elements {
		b = appendLengthLine(b, bulkStringTypeByte, len(element))
		b = append(b, element...)
		b = append(b, crlf...)
	}
	return appendLengthLine(b, bulkStringTypeByte, bodySize)
}

// encodeCommand returns the complete array of the command's word and its arguments.
func encodeCommand(command string, arguments ...string) []byte {
	elements := append([]string{command}, arguments...)
	lastElement := elements[len(elements)-1]
	b := encodeHeader(len(lastElement), elements[:len(elements)-1]...)
	b = append(b, lastElement...)
	return append(b, crlf...)
}

// appendLengthLine appends the line that begins an array or a bulk string.
func appendLengthLine(b []byte, typeByte byte, number int) []byte {
	b = append(b, typeByte)
	b = strconv.AppendInt(b, int64(number), 10)
	return append(b, crlf...)
}
