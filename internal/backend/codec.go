package backend

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

const (
	maxBulkSize   = 16<<10 + 64         // bytes of a bulk string; a body is the longest one
	maxAnswerSize = maxBulkSize + 4<<10 // bytes of a whole answer
	maxWords      = 8                   // an answer has four
	maxPrefixLine = 12                  // bytes of a line such as "*4" or "$16384", with some to spare
	minPrefixLine = len("*0\r\n")       // bytes
	headerSize    = 160                 // bytes: holds the header of any command without a copy
	arrayMark     = '*'
	bulkMark      = '$'
)

var lineEnd = []byte("\r\n")

// errMalformedAnswer says that a worker broke the protocol.
var errMalformedAnswer = errors.New("malformed answer")

func malformed(reason string) error { return fmt.Errorf("%w: %s", errMalformedAnswer, reason) }

// decodeArray decodes the RESP array of bulk strings at the beginning of b and appends its words, which point into
// b, to words. It also returns the array's size in bytes, 0 while the array is not whole. It fails with
// errMalformedAnswer. Announced lengths are checked before anything waits for their bytes, so that what a peer can
// make the router buffer is bounded.
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
// number and the index behind the line, 0 while the line is not whole.
func decodePrefix(b []byte, start int, mark byte, limit int) (number, end int, err error) {
	line := b[start:]
	if len(line) > 0 && line[0] != mark {
		return 0, 0, malformed(fmt.Sprintf("%q in place of %q", line[0], mark))
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
	for _, digit := range line[1 : newline-1] {
		if digit < '0' || digit > '9' {
			return 0, 0, malformed("length is not a number")
		}
		number = number*10 + int(digit-'0')
		if number > limit {
			return 0, 0, malformed(fmt.Sprintf("length over %d", limit))
		}
	}
	return number, start + newline + 1, nil
}

// encodeHeader returns an array of words and one more bulk string of bodySize bytes, without these bytes and
// the line end behind them, so that a body is written from where it lies.
func encodeHeader(bodySize int, words ...string) []byte {
	b := appendPrefix(make([]byte, 0, headerSize), arrayMark, len(words)+1)
	for _, w := range words {
		b = appendPrefix(b, bulkMark, len(w))
		b = append(b, w...)
		b = append(b, lineEnd...)
	}
	return appendPrefix(b, bulkMark, bodySize)
}

// encodeCommand returns a whole array of the command's word and its arguments.
func encodeCommand(command string, arguments ...string) []byte {
	words := append([]string{command}, arguments...)
	last := words[len(words)-1]
	b := encodeHeader(len(last), words[:len(words)-1]...)
	b = append(b, last...)
	return append(b, lineEnd...)
}

func appendPrefix(b []byte, mark byte, number int) []byte {
	b = append(b, mark)
	b = strconv.AppendInt(b, int64(number), 10)
	return append(b, lineEnd...)
}
