package main

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"strconv"
	"strings"
)

// maxRESPLine is the most bytes of a line that gives a count or a length.
const maxRESPLine = 8

// serveWorker accepts connections until the listener fails.
func serveWorker(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer func() { _ = conn.Close() }() // it has ended in any case
			if err := serveRequests(conn, listener.Addr().String()); err != nil {
				log.Printf("%s: %v", listener.Addr(), err)
			}
		}()
	}
}

// serveRequests answers the requests on one connection until it ends. Every function counts as loaded.
func serveRequests(conn io.ReadWriter, worker string) error {
	in := bufio.NewReader(conn)
	for {
		request, err := readArray(in)
		if err != nil || len(request) < 2 {
			return nil // the router closed it, or does not speak the protocol
		}
		log.Printf("%s: %.100q", worker, request)
		if err := answerRequest(conn, worker, request); err != nil {
			return err
		}
	}
}

func answerRequest(w io.Writer, worker string, request []string) error {
	command, id := request[0], request[1]
	switch command {
	case "RUN":
		input := request[len(request)-1]
		return writeArray(w, id, "HIT", "detail=hot,use=inflight:1", "worker "+worker+" ran it on: "+input)
	case "HOLD":
		return writeArray(w, id, "HIT", "count=1", "")
	case "NOOP", "INFO":
		return writeArray(w, id, "PONG", "use=inflight:0", "")
	}
	return nil
}

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

// readNumber reads a line of a mark and a number, as "*3" or "$12".
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
