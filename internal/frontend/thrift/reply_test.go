package thrift

import (
	"encoding/hex"
	"testing"
	"time"

	"functionrouter/internal/router"
)

// respond returns a function that sends one execute call and gives its request the answer.
func respond(answer router.Response) func(*connection, *fakeRouter) {
	return func(c *connection, requests *fakeRouter) {
		c.OnData(executeFrame(7, "request", validFields...))
		requests.submitted[0].Responder.Respond(answer)
	}
}

// wireFrames lists exchanges with a client and the bytes that the connection must write in each, as hexadecimal digits.
var wireFrames = []struct {
	name string
	run  func(*connection, *fakeRouter)
	want string
}{
	{
		"served", respond(router.Response{Status: router.Served, Body: []byte("a body")}),
		"00000032800100020000000765786563757465000000070c00000b0001000000066120626f64790d00020b0b00000000" +
			"020003010000",
	},
	{
		"served with an empty body", respond(router.Response{Status: router.Served}),
		"0000002c800100020000000765786563757465000000070c00000b0001000000000d00020b0b00000000020003010000",
	},
	{
		"refused without a retry delay", respond(router.Response{Status: router.Refused}),
		"0000002f800100020000000765786563757465000000070c00010d00010b0b0000000100000005616674657200000001" +
			"300000",
	},
	{
		"refused with a retry delay below a millisecond",
		respond(router.Response{Status: router.Refused, RetryAfter: 1}),
		"0000002f800100020000000765786563757465000000070c00010d00010b0b0000000100000005616674657200000001" +
			"310000",
	},
	{
		"refused with a retry delay",
		respond(router.Response{Status: router.Refused, RetryAfter: 1500 * time.Millisecond}),
		"00000032800100020000000765786563757465000000070c00010d00010b0b0000000100000005616674657200000004" +
			"313530300000",
	},
	{
		"failed", respond(router.Response{Status: router.Failed}),
		"00000021800100020000000765786563757465000000070c00020d00010b0b000000000000",
	},
	{
		"invalid field", func(c *connection, _ *fakeRouter) { c.OnData(executeFrame(7, "", "class", "no such")) },
		"00000034800100020000000765786563757465000000070c00020d00010b0b0000000100000006726561736f6e000000" +
			"05636c6173730000",
	},
	{
		"check while ready", func(c *connection, _ *fakeRouter) { c.OnData(emptyFrame(messageCall, "check", 7)) },
		"0000002a8001000200000005636865636b000000070c00000b0001000000000d00020b0b00000000020003010000",
	},
	{
		"check while not ready", func(c *connection, _ *fakeRouter) {
			c.server.ready = func() bool { return false }
			c.OnData(emptyFrame(messageCall, "check", 7))
		},
		"0000002a8001000200000005636865636b000000070c00000b0001000000000d00020b0b00000000020003000000",
	},
	{
		"unknown method", func(c *connection, _ *fakeRouter) { c.OnData(emptyFrame(messageCall, "other", 7)) },
		"0000002e80010003000000056f74686572000000070b00010000000e756e6b6e6f776e206d6574686f64080002000000" +
			"0100",
	},
	{
		"unknown oneway method",
		func(c *connection, _ *fakeRouter) { c.OnData(emptyFrame(messageOneway, "other", 7)) }, "",
	},
	{
		"interrupt of no open call",
		func(c *connection, _ *fakeRouter) { c.OnData(emptyFrame(messageCall, "interrupt", 7)) }, "",
	},
}

// Guards against a change of the bytes on the wire. Clients decode the frames with code that is not in this repository,
// so the test compares every byte.
func TestFramesOnTheWire(t *testing.T) {
	for _, test := range wireFrames {
		t.Run(test.name, func(t *testing.T) {
			c, requests, transport := newTestConnection()
			test.run(c, requests)
			if got := hex.EncodeToString(transport.Written.Bytes()); got != test.want || transport.Closed {
				t.Errorf("wrote %s, want %s; connection closed: %v, want false", got, test.want, transport.Closed)
			}
		})
	}
}
