package main

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
	"unicode/utf8"
)

// callBody is the body of the call.
const callBody = "lamp 17 to 40%"

// routerStartTimeout is how long sendCall waits for the router to listen.
const routerStartTimeout = 30 * time.Second

// dialInterval is the pause between two attempts to connect to the router.
const dialInterval = 200 * time.Millisecond

// sendCall sends one call to the router and prints the answer. It waits for the answer without a timeout.
func sendCall() error {
	conn, err := dialRouter()
	if err != nil {
		return err
	}
	// An error of Close has no effect: the answer has arrived, or sendCall returns another error.
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(encodeExecuteFrame(callFields(), callBody)); err != nil {
		return err
	}
	frame, err := readFrame(conn)
	if err != nil {
		return err
	}
	answer, err := decodeAnswer(frame)
	if err != nil {
		return fmt.Errorf("%w; received frame:\n%s", err, hex.Dump(frame))
	}
	fmt.Print(answer)
	return nil
}

// dialRouter connects to the router. It retries for up to routerStartTimeout until the router listens.
func dialRouter() (net.Conn, error) {
	deadline := time.Now().Add(routerStartTimeout)
	for {
		conn, err := net.Dial("tcp", routerAddr)
		if err == nil || time.Now().After(deadline) {
			return conn, err
		}
		time.Sleep(dialInterval)
	}
}

// callFields returns the fields of a call in the order in which they are sent, with a new random id.
func callFields() []field {
	return []field{
		{"class", "dim-level"},
		{"id", fmt.Sprintf("%016x", rand.Uint64())},
		{"wait", "1500"}, // milliseconds
		{"key", functionKey},
		{"props", "memory_mb:512;lanes:2;load_ms:640"},
	}
}

// answer is the router's answer to a call.
type answer struct {
	status string // served, refused or failed
	body   []byte
	fields []field
}

// String formats each part of the answer on its own line. A body that is not valid UTF-8 is formatted as a hex dump.
func (a answer) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "status: %s\n", a.status)
	switch {
	case len(a.body) == 0:
	case utf8.Valid(a.body):
		fmt.Fprintf(&text, "body:   %s\n", a.body)
	default:
		fmt.Fprintf(&text, "body:\n%s", hex.Dump(a.body))
	}
	for _, f := range a.fields {
		fmt.Fprintf(&text, "field:  %s = %s\n", f.name, f.value)
	}
	return text.String()
}
