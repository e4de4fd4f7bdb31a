package main

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// maxRESPLineBytes limits a line that gives a count or a length in RESP, the Redis serialization protocol. The limit
// allows for the type byte, five digits and the line break.
const maxRESPLineBytes = 8

// writeArray writes words as an array of bulk strings in RESP, the Redis serialization protocol.
func writeArray(w io.Writer, words ...string) error {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// readArray reads an array of bulk strings in RESP, the Redis serialization protocol.
func readArray(r *bufio.Reader) ([]string, error) {
	count, err := readNumber(r, '*')
	if err != nil {
		return nil, err
	}
	var words []string
	for range count {
		size, err := readNumber(r, '$')
		if err != nil {
			return nil, err
		}
		word := make([]byte, size+len("\r\n"))
		if _, err := io.ReadFull(r, word); err != nil {
			return nil, err
		}
		words = append(words, string(word[:size]))
	}
	return words, nil
}

// readNumber reads a line that consists of a type byte and a number, such as "*3" or "$12". It returns an error if the
// type byte is not typeByte or if the line is longer than maxRESPLineBytes.
func readNumber(r *bufio.Reader, typeByte byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != typeByte || len(line) > maxRESPLineBytes {
		return 0, fmt.Errorf("malformed RESP line %q (%d bytes), want at most %d bytes and %q as the first byte",
			line, len(line), maxRESPLineBytes, typeByte)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
