package main

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// maxRESPLine is the most bytes of a line that gives a count or a length, with its mark and line break: five digits.
const maxRESPLine = 8

// writeArray writes words as a RESP array of bulk strings.
func writeArray(w io.Writer, words ...string) error {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// readArray reads a RESP array of bulk strings.
func readArray(in *bufio.Reader) ([]string, error) {
	count, err := readNumber(in, '*')
	if err != nil {
		return nil, err
	}
	var words []string
	for range count {
		size, err := readNumber(in, '$')
		if err != nil {
			return nil, err
		}
		word := make([]byte, size+len("\r\n"))
		if _, err := io.ReadFull(in, word); err != nil {
			return nil, err
		}
		words = append(words, string(word[:size]))
	}
	return words, nil
}

// readNumber reads a line of a mark and a number, as "*3" or "$12". It fails for another mark and for a line that is too
// long.
func readNumber(in *bufio.Reader, mark byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != mark || len(line) > maxRESPLine {
		return 0, fmt.Errorf("malformed line %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
