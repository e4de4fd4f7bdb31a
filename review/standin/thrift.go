package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Answer is the router's final answer to an execute call, as a client sees it.
type Answer struct {
	Kind string // served, refused, failed, exception or lost (the connection ended, or the answer can't be read)
	Body []byte
	Good bool
	Err  error
}

// Client is a client connection: framed Thrift, strict binary protocol.
type Client struct {
	conn net.Conn

	mu      sync.Mutex
	lastSeq uint32
	open    map[uint32]chan Answer
	ended   error
}

// Connect opens a client connection to the router.
func Connect(addr string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, open: map[uint32]chan Answer{}}
	go c.read()
	return c, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

func appendString(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
	return append(b, s...)
}

// frame encodes a message with the given type (1 call, 4 oneway) and arguments.
func frame(kind byte, method string, seq uint32, args []byte) []byte {
	b := []byte{0x80, 0x01, 0x00, kind}
	b = appendString(b, method)
	b = binary.BigEndian.AppendUint32(b, seq)
	b = append(b, args...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)
}

// executeFrame encodes an execute call; fields are alternating names and values.
func executeFrame(seq uint32, body []byte, fields ...string) []byte {
	args := []byte{13, 0, 1, 11, 11} // field 1: map<string,string>
	args = binary.BigEndian.AppendUint32(args, uint32(len(fields)/2))
	for _, f := range fields {
		args = appendString(args, f)
	}
	args = append(args, 11, 0, 2) // field 2: binary
	args = appendString(args, string(body))
	return frame(1, "execute", seq, append(args, 0))
}

// interruptFrame encodes an interrupt of the call with the sequence number target.
func interruptFrame(seq, target uint32) []byte {
	args := binary.BigEndian.AppendUint32([]byte{8, 0, 1}, target)
	return frame(4, "interrupt", seq, append(args, 0))
}

// Execute sends a call and returns its number and the channel that gets its one answer.
func (c *Client) Execute(body []byte, fields ...string) (uint32, <-chan Answer) {
	ch := make(chan Answer, 2)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended != nil {
		ch <- Answer{Kind: "lost", Err: c.ended}
		return 0, ch
	}
	c.lastSeq++
	c.open[c.lastSeq] = ch
	_, _ = c.conn.Write(executeFrame(c.lastSeq, body, fields...))
	return c.lastSeq, ch
}

// Interrupt withdraws a call.
func (c *Client) Interrupt(target uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, target)
	_, _ = c.conn.Write(interruptFrame(0, target))
}

// Check calls check and reports whether the router said that it is ready.
func Check(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = conn.Write(frame(1, "check", 1, []byte{2, 0, 1, 1, 0}))
	b, err := readFrame(bufio.NewReader(conn))
	if err != nil {
		return false
	}
	_, a := decodeReply(b)
	return a.Kind == "served" && a.Good
}

func readFrame(r io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > 1<<20 {
		return nil, fmt.Errorf("frame of %d bytes", size)
	}
	b := make([]byte, size)
	_, err := io.ReadFull(r, b)
	return b, err
}

func (c *Client) read() {
	r := bufio.NewReader(c.conn)
	var err error
	for {
		var b []byte
		if b, err = readFrame(r); err != nil {
			break
		}
		seq, a := decodeReply(b)
		c.mu.Lock()
		if ch := c.open[seq]; ch != nil {
			ch <- a
			delete(c.open, seq)
		}
		c.mu.Unlock()
	}
	c.mu.Lock()
	c.ended = err
	for seq, ch := range c.open {
		ch <- Answer{Kind: "lost", Err: err}
		delete(c.open, seq)
	}
	c.mu.Unlock()
	_ = c.conn.Close()
}

// decoder reads Thrift values; a malformed message panics, which decodeReply recovers.
type decoder struct{ b []byte }

func (d *decoder) take(n int) []byte {
	v := d.b[:n]
	d.b = d.b[n:]
	return v
}
func (d *decoder) u32() uint32   { return binary.BigEndian.Uint32(d.take(4)) }
func (d *decoder) bytes() []byte { return d.take(int(d.u32())) }
func (d *decoder) skip(kind byte) {
	switch kind {
	case 2, 3:
		d.take(1)
	case 6:
		d.take(2)
	case 8:
		d.take(4)
	case 4, 10:
		d.take(8)
	case 11:
		d.bytes()
	case 12:
		d.fields(func(_ uint16, k byte) { d.skip(k) })
	case 13:
		k, v := d.take(1)[0], d.take(1)[0]
		for n := d.u32(); n > 0; n-- {
			d.skip(k)
			d.skip(v)
		}
	default:
		panic("type")
	}
}
func (d *decoder) fields(visit func(id uint16, kind byte)) {
	for {
		kind := d.take(1)[0]
		if kind == 0 {
			return
		}
		visit(binary.BigEndian.Uint16(d.take(2)), kind)
	}
}

// decodeReply decodes the reply to a call.
func decodeReply(b []byte) (seq uint32, a Answer) {
	defer func() {
		if p := recover(); p != nil {
			a = Answer{Kind: "lost", Err: fmt.Errorf("answer can't be read: %v", p)}
		}
	}()
	d := &decoder{b}
	kind := d.u32() & 0xff
	d.bytes()
	seq = d.u32()
	if kind == 3 {
		return seq, Answer{Kind: "exception"}
	}
	a.Kind = "lost"
	d.fields(func(id uint16, k byte) {
		switch id {
		case 0:
			a.Kind = "served"
			d.fields(func(id uint16, k byte) {
				switch {
				case id == 1 && k == 11:
					a.Body = append([]byte{}, d.bytes()...)
				case id == 3 && k == 2:
					a.Good = d.take(1)[0] != 0
				default:
					d.skip(k)
				}
			})
		case 1:
			a.Kind = "refused"
			d.skip(k)
		case 2:
			a.Kind = "failed"
			d.skip(k)
		default:
			d.skip(k)
		}
	})
	return seq, a
}

// Ended reports whether the connection has ended.
func (c *Client) Ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended != nil
}
