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
	// maxWords is the limit on the number of words. An answer has two to four; parseAnswer ignores further ones.
	maxWords = 8
	// maxPrefixLine is the limit of a line such as "*4" or "$16384" with its end; the longest within the limits above has
	// 8 bytes.
	maxPrefixLine = 12
	// minPrefixLine is the length of the shortest such line.
	minPrefixLine = len("*0\r\n")
)

// headerSize is the capacity in bytes with which a command's header is allocated. A header with a class name of up to 60
// bytes fits without growing.
const headerSize = 160

// The first bytes of RESP types.
const (
	arrayMark = '*'
	bulkMark  = '$'
)

// lineEnd ends each line and each bulk string. It is never changed.
var lineEnd = []byte("\r\n")

// errMalformedAnswer says that a worker broke the protocol. Each error of the functions here and in answer.go wraps it; so
// "fails with errMalformedAnswer" means an error for which errors.Is finds it.
var errMalformedAnswer = errors.New("malformed answer")

// malformed returns an error that wraps errMalformedAnswer and gives the formatted reason.
func malformed(format string, arguments ...any) error {
	return fmt.Errorf("%w: %s", errMalformedAnswer, fmt.Sprintf(format, arguments...))
}

// decodeArray decodes the RESP array of bulk strings at the beginning of b and appends its words, which point into
// b, to words. It also returns the array's size in bytes. While the array is incomplete, it returns no words and 0. It
// fails with errMalformedAnswer. A length is checked as soon as it is announced, before its bytes have arrived, so that
// what a worker can make the router buffer is bounded.
func decodeArray(b []byte, words [][]byte) ([][]byte, int, error) {
	count, at, err := decodePrefix(b, 0, arrayMark, maxWords)
	if err != nil || at == 0 {
		return nil, 0, err
	}
	for range count {
		size, start, err := decodePrefix(b, at, bulkMark, maxBulkSize)
		if err != nil || start == 0 {
			return nil, 0, err
		}
		end := start + size
		if end > maxAnswerSize {
			return nil, 0, malformed("answer too long")
		}
		if len(b) < end+len(lineEnd) {
			return nil, 0, nil
		}
		if !bytes.HasPrefix(b[end:], lineEnd) {
			return nil, 0, malformed("no line end behind a bulk string")
		}
		words = append(words, b[start:end])
		at = end + len(lineEnd)
	}
	return words, at, nil
}

// decodePrefix decodes a line of mark and a decimal number up to limit that begins at index start of b. It returns the
// number and the index behind the line, 0 while the line is incomplete. It fails with errMalformedAnswer.
func decodePrefix(b []byte, start int, mark byte, limit int) (number, end int, err error) {
	line := b[start:]
	if len(line) > 0 && line[0] != mark {
		return 0, 0, malformed("%q in place of %q", line[0], mark)
	}
	newline := bytes.IndexByte(line[:min(len(line), maxPrefixLine)], '\n')
	if newline < 0 {
		if len(line) >= maxPrefixLine {
			return 0, 0, malformed("length line too long")
		}
		return 0, 0, nil
	}
	if newline+1 < minPrefixLine || line[newline-1] != '\r' {
		return 0, 0, malformed("length line without number or carriage return")
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
			return 0, malformed("length is not a number")
		}
		number = number*10 + int(digit-'0')
		if number > limit {
			return 0, malformed("length over %d", limit)
		}
	}
	return number, nil
}

// encodeHeader returns an array of words and one more bulk string of bodySize bytes, without these bytes and
// the line end behind them: the caller writes both separately, so that a body is not copied.
func encodeHeader(bodySize int, words ...string) []byte {
	b := appendPrefix(make([]byte, 0, headerSize), arrayMark, len(words)+1)
	for _, word := range words {
		b = appendPrefix(b, bulkMark, len(word))
		b = append(b, word...)
		b = append(b, lineEnd...)
	}
	return appendPrefix(b, bulkMark, bodySize)
}

// encodeCommand returns the complete array of the command's word and its arguments.
func encodeCommand(command string, arguments ...string) []byte {
	words := append([]string{command}, arguments...)
	last := words[len(words)-1]
	b := encodeHeader(len(last), words[:len(words)-1]...)
	b = append(b, last...)
	return append(b, lineEnd...)
}

// appendPrefix appends the line that begins an array or a bulk string.
func appendPrefix(b []byte, mark byte, number int) []byte {
	b = append(b, mark)
	b = strconv.AppendInt(b, int64(number), 10)
	return append(b, lineEnd...)
}
