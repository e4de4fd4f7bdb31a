package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// The kinds of a request's end, as its client sees them.
const (
	served  = "served"
	refused = "refused"
	failed  = "failed"
	closed  = "closed" // the connection ended without an answer
)

// result is the end of a call.
type result struct {
	kind string
	body string
	at   time.Time
}

// field is an entry of a call's map.
type field struct{ name, value string }

// client is a connection to the router's Thrift front.
type client struct {
	conn net.Conn

	mu      sync.Mutex
	lastSeq uint32
	open    map[uint32]chan result
	ended   bool
}

func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 10*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, open: map[uint32]chan result{}}
	go c.read()
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// hasEnded reports whether the router has closed the connection.
func (c *client) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// call sends a call of execute. The returned channel gets its one result.
func (c *client) call(fields []field, body string) (seq uint32, results <-chan result, err error) {
	return c.send("execute", encodeExecute(fields, body))
}

// check sends a call of check.
func (c *client) check() (<-chan result, error) {
	_, results, err := c.send("check", []byte{2, 0, 1, 1, 0})
	return results, err
}

// interrupt withdraws a call.
func (c *client) interrupt(seq uint32) error {
	arguments := binary.BigEndian.AppendUint32([]byte{8, 0, 1}, seq)
	arguments = append(arguments, 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.conn.Write(encodeMessage(4, "interrupt", seq, arguments))
	return err
}

func (c *client) send(method string, arguments []byte) (uint32, <-chan result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, nil, io.EOF
	}
	c.lastSeq++
	results := make(chan result, 1)
	c.open[c.lastSeq] = results
	_, err := c.conn.Write(encodeMessage(1, method, c.lastSeq, arguments))
	return c.lastSeq, results, err
}

// read hands out the answers until the connection ends.
func (c *client) read() {
	r := bufio.NewReader(c.conn)
	for {
		seq, answer, err := readAnswer(r)
		c.mu.Lock()
		if err != nil {
			c.ended = true
			for _, results := range c.open {
				results <- result{kind: closed, at: time.Now()}
			}
			clear(c.open)
			c.mu.Unlock()
			return
		}
		if results := c.open[seq]; results != nil {
			delete(c.open, seq)
			results <- answer
		}
		c.mu.Unlock()
	}
}

func appendString(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
	return append(b, s...)
}

func encodeExecute(fields []field, body string) []byte {
	b := []byte{13, 0, 1, 11, 11}
	b = binary.BigEndian.AppendUint32(b, uint32(len(fields)))
	for _, f := range fields {
		b = appendString(b, f.name)
		b = appendString(b, f.value)
	}
	b = append(b, 11, 0, 2)
	b = appendString(b, body)
	return append(b, 0)
}

func encodeMessage(messageType byte, method string, seq uint32, arguments []byte) []byte {
	b := []byte{0, 0, 0, 0, 0x80, 1, 0, messageType}
	b = appendString(b, method)
	b = binary.BigEndian.AppendUint32(b, seq)
	b = append(b, arguments...)
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}

var errMalformed = errors.New("malformed answer")

// readAnswer reads one frame: a reply of execute or check.
func readAnswer(r *bufio.Reader) (seq uint32, answer result, err error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return 0, result{}, err
	}
	frame := make([]byte, binary.BigEndian.Uint32(size[:]))
	if _, err := io.ReadFull(r, frame); err != nil {
		return 0, result{}, err
	}
	now := time.Now()
	if len(frame) < 8 {
		return 0, result{}, errMalformed
	}
	messageType := frame[3]
	nameEnd := 8 + int(binary.BigEndian.Uint32(frame[4:]))
	if len(frame) < nameEnd+5 {
		return 0, result{}, errMalformed
	}
	seq = binary.BigEndian.Uint32(frame[nameEnd:])
	rest := frame[nameEnd+4:]
	if messageType == 3 {
		return seq, result{kind: failed, at: now}, nil
	}
	if len(rest) < 3 {
		return 0, result{}, errMalformed
	}
	switch binary.BigEndian.Uint16(rest[1:]) {
	case 1:
		return seq, result{kind: refused, at: now}, nil
	case 2:
		return seq, result{kind: failed, at: now}, nil
	}
	// An Answer: field 1 is the body, field 3 is good.
	if len(rest) < 10 || rest[3] != 11 {
		return 0, result{}, fmt.Errorf("%w: %x", errMalformed, rest)
	}
	bodySize := int(binary.BigEndian.Uint32(rest[6:]))
	if len(rest) < 10+bodySize {
		return 0, result{}, errMalformed
	}
	tail := rest[10+bodySize:]
	good := len(tail) >= 3 && tail[len(tail)-3] == 1
	if !good {
		return seq, result{kind: failed, at: now}, nil
	}
	return seq, result{kind: served, body: string(rest[10 : 10+bodySize]), at: now}, nil
}
