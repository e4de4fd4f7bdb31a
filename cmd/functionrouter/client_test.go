package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"testing"
	"time"
)

// Codes of Thrift's binary protocol that the tests use.
const (
	thriftCall   = 1
	thriftOneway = 4

	thriftStop   = 0
	thriftInt32  = 8
	thriftString = 11
	thriftMap    = 13
)

// testClient is a client with one connection to the router.
type testClient struct {
	net.Conn
	t            *testing.T
	lastSequence uint32 // sequence number of the latest call
}

// newTestClient returns a client on conn. The connection is closed at the end of the test. All reads and writes on it
// must finish within testTimeout.
func newTestClient(t *testing.T, conn net.Conn) *testClient {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it already
	return &testClient{Conn: conn, t: t}
}

// close closes the connection.
func (c *testClient) close() {
	c.t.Helper()
	if err := c.Close(); err != nil {
		c.t.Fatal(err)
	}
}

// appendLengthPrefixed appends the length of s, and then s.
func appendLengthPrefixed(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// frameMessage returns the frame of a Thrift message with the encoded arguments args.
func frameMessage(kind byte, method string, sequence uint32, args ...byte) []byte {
	size := []byte{0, 0, 0, 0}
	b := appendLengthPrefixed(append(size, 0x80, 1, 0, kind), method)
	b = binary.BigEndian.AppendUint32(b, sequence)
	b = append(append(b, args...), thriftStop)
	binary.BigEndian.PutUint32(b, uint32(len(b)-len(size)))
	return b
}

// callFrame returns the frame of a request with the next sequence number. extraHeaders holds names and values in turn.
func (c *testClient) callFrame(class, id, body string, wait time.Duration, extraHeaders ...string) []byte {
	c.lastSequence++
	headers := []string{
		"class", class,
		"id", id,
		"wait", strconv.FormatInt(wait.Milliseconds(), 10),
		"key", "7f3a9c21e0b4d655",
	}
	headers = append(headers, extraHeaders...)
	args := []byte{thriftMap, 0, 1, thriftString, thriftString, 0, 0, 0, byte(len(headers) / 2)}
	for _, s := range headers {
		args = appendLengthPrefixed(args, s)
	}
	args = appendLengthPrefixed(append(args, thriftString, 0, 2), body)
	return frameMessage(thriftCall, "execute", c.lastSequence, args...)
}

// sendBytes sends b, which may be a part of a frame.
func (c *testClient) sendBytes(b []byte) {
	c.t.Helper()
	if _, err := c.Write(b); err != nil {
		c.t.Fatal(err)
	}
}

// sendCall sends a request with a client timeout of 5 s.
func (c *testClient) sendCall(class, id, body string) {
	c.t.Helper()
	c.sendBytes(c.callFrame(class, id, body, 5*time.Second))
}

// sendInterrupt cancels the request with the given sequence number.
func (c *testClient) sendInterrupt(sequence uint32) {
	c.t.Helper()
	c.sendBytes(interruptFrame(sequence))
}

// interruptFrame returns the frame of an interrupt of the request with the given sequence number.
func interruptFrame(sequence uint32) []byte {
	args := binary.BigEndian.AppendUint32([]byte{thriftInt32, 0, 1}, sequence)
	return frameMessage(thriftOneway, "interrupt", 0, args...)
}

// callUntilRefused sends requests until the router, which must be shutting down, refuses one.
func (c *testClient) callUntilRefused() {
	c.t.Helper()
	for status := "served"; status == "served"; {
		c.sendCall("safe", fmt.Sprintf("%016x", 0xb0000+c.lastSequence), "more")
		status, _ = c.response()
	}
}

// response reads a response and returns its status, "served", "refused" or "failed". If the status is "served", it also
// returns the body.
func (c *testClient) response() (status, body string) {
	c.t.Helper()
	status, body, err := c.tryResponse()
	if err != nil {
		c.t.Fatal(err)
	}
	return status, body
}

// expectStatus reads a response and checks that its status is want. It returns the body.
func (c *testClient) expectStatus(want string) (body string) {
	c.t.Helper()
	status, body := c.response()
	if status != want {
		c.t.Errorf("the request was %s, want %s", status, want)
	}
	return body
}

// tryResponse reads a response like response does, but returns an error if it can't read the frame.
func (c *testClient) tryResponse() (status, body string, err error) {
	_, status, body, err = c.readReply()
	return status, body, err
}

// readReply reads a response like tryResponse does, and also returns the sequence number of its call.
func (c *testClient) readReply() (sequence uint32, status, body string, err error) {
	b, err := c.readFrame()
	if err != nil {
		return 0, "", "", err
	}
	methodSize := binary.BigEndian.Uint32(b[4:])
	b = b[4+4+methodSize:] // skips the version and the method
	sequence = binary.BigEndian.Uint32(b)
	b = b[4:]
	switch field := binary.BigEndian.Uint16(b[1:]); field {
	case 0:
		size := binary.BigEndian.Uint32(b[6:])
		return sequence, "served", string(b[10 : 10+size]), nil
	case 1:
		return sequence, "refused", "", nil
	default:
		return sequence, "failed", "", nil
	}
}

// readFrame reads a whole frame.
func (c *testClient) readFrame() ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(c, size[:]); err != nil {
		return nil, err
	}
	b := make([]byte, binary.BigEndian.Uint32(size[:]))
	_, err := io.ReadFull(c, b)
	return b, err
}

// checkHealth asks the router whether it is ready. It also serves as a barrier: once the router has answered two
// checks, it has read all input that was readable before. One check is not enough, because the router may answer it in
// the same turn of the loop as other input, before it reads that input.
func (c *testClient) checkHealth() (ready bool) {
	c.t.Helper()
	for range 2 {
		c.lastSequence++
		c.sendBytes(frameMessage(thriftCall, "check", c.lastSequence))
		b, err := c.readFrame()
		if err != nil {
			c.t.Fatal(err)
		}
		// The answer is a struct in field 0. The boolean in its field 3 comes directly before the two stop bytes.
		ready = b[len(b)-3] == 1
	}
	return ready
}
