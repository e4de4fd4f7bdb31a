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

// The codes of Thrift's binary protocol that the tests use.
const (
	thriftCall   = 1
	thriftOneway = 4

	thriftStop   = 0
	thriftInt32  = 8
	thriftString = 11
	thriftMap    = 13
)

// testClient is a connection to the router.
type testClient struct {
	net.Conn
	t            *testing.T
	lastSequence uint32 // sequence number of the latest call
}

// newTestClient returns a client on conn, which is closed at the end of the test. All it does must end within testTimeout.
func newTestClient(t *testing.T, conn net.Conn) *testClient {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // some tests have closed it
	return &testClient{Conn: conn, t: t}
}

// close ends the connection.
func (c *testClient) close() {
	c.t.Helper()
	if err := c.Close(); err != nil {
		c.t.Fatal(err)
	}
}

// appendLengthPrefixed appends a string behind its length.
func appendLengthPrefixed(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// frameMessage frames a Thrift message with these encoded arguments.
func frameMessage(kind byte, method string, sequence uint32, args ...byte) []byte {
	size := []byte{0, 0, 0, 0}
	b := appendLengthPrefixed(append(size, 0x80, 1, 0, kind), method)
	b = binary.BigEndian.AppendUint32(b, sequence)
	b = append(append(b, args...), thriftStop)
	binary.BigEndian.PutUint32(b, uint32(len(b)-len(size)))
	return b
}

// callFrame is the frame of a request. It has the next sequence number. moreFields are names and values.
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

// sendBytes sends b, which need not be a whole frame.
func (c *testClient) sendBytes(b []byte) {
	c.t.Helper()
	if _, err := c.Write(b); err != nil {
		c.t.Fatal(err)
	}
}

// sendCall sends a request whose client waits for 5 s.
func (c *testClient) sendCall(class, id, body string) {
	c.t.Helper()
	c.sendBytes(c.callFrame(class, id, body, 5*time.Second))
}

// sendInterrupt cancels the request with that sequence number.
func (c *testClient) sendInterrupt(sequence uint32) {
	c.t.Helper()
	args := binary.BigEndian.AppendUint32([]byte{thriftInt32, 0, 1}, sequence)
	c.sendBytes(frameMessage(thriftOneway, "interrupt", 0, args...))
}

// callUntilRefused sends requests until the router, which is shutting down, refuses one.
func (c *testClient) callUntilRefused() {
	c.t.Helper()
	for status := "served"; status == "served"; {
		c.sendCall("safe", fmt.Sprintf("%016x", 0xb0000+c.lastSequence), "more")
		status, _ = c.response()
	}
}

// response reads a response: "served" with the body, "refused" or "failed".
func (c *testClient) response() (status, body string) {
	c.t.Helper()
	status, body, err := c.tryResponse()
	if err != nil {
		c.t.Fatal(err)
	}
	return status, body
}

// expectStatus reads a response, whose status must be want. It returns the body.
func (c *testClient) expectStatus(want string) (body string) {
	c.t.Helper()
	status, body := c.response()
	if status != want {
		c.t.Errorf("the request was %s, want %s", status, want)
	}
	return body
}

// tryResponse is response for a connection that may have ended.
func (c *testClient) tryResponse() (status, body string, err error) {
	b, err := c.readFrame()
	if err != nil {
		return "", "", err
	}
	methodSize := binary.BigEndian.Uint32(b[4:])
	b = b[4+4+methodSize+4:] // behind the version, the method and the sequence number
	switch field := binary.BigEndian.Uint16(b[1:]); field {
	case 0:
		size := binary.BigEndian.Uint32(b[6:])
		return "served", string(b[10 : 10+size]), nil
	case 1:
		return "refused", "", nil
	default:
		return "failed", "", nil
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

// checkHealth asks the router whether it is ready. It also is a barrier: once it has been answered twice, the router
// has read all that was readable before. The first answer may come in the same turn of the loop as other input, and
// before that is read.
func (c *testClient) checkHealth() (ready bool) {
	c.t.Helper()
	for range 2 {
		c.lastSequence++
		c.sendBytes(frameMessage(thriftCall, "check", c.lastSequence))
		b, err := c.readFrame()
		if err != nil {
			c.t.Fatal(err)
		}
		// A struct in field 0 whose boolean in field 3 comes before the two stop bytes.
		ready = b[len(b)-3] == 1
	}
	return ready
}
