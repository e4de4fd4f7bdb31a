package thrift

import (
	"testing"

	"functionrouter/internal/router"
)

// Guards against input that makes the connection panic or buffer more than one frame, and against a second reply to a
// call or a reply after the close. The input is any bytes in pieces of one size, and the connection ends with or
// without an end of input.
func FuzzConnection(f *testing.F) {
	f.Add(executeFrame(1, "body", validFields...), uint8(7), true)
	f.Add(append(checkFrame(1), interruptFrame(2)...), uint8(1), false)
	f.Add([]byte("\x00\x00\x00\x04garb"), uint8(3), true)
	f.Fuzz(func(t *testing.T, input []byte, pieceSize uint8, endsInput bool) {
		c, requests, transport := newTestConnection()
		for rest := input; len(rest) > 0; {
			size := min(len(rest), int(pieceSize)+1)
			c.OnData(rest[:size])
			rest = rest[size:]
		}
		if len(c.partialFrame) > maxFrameBytes+frameHeaderBytes+int(pieceSize)+1 {
			t.Errorf("%d bytes of an incomplete frame are buffered, want at most %d",
				len(c.partialFrame), maxFrameBytes+frameHeaderBytes+int(pieceSize)+1)
		}
		if endsInput {
			c.OnEndOfInput()
		}
		before := transport.Written.Len()
		c.OnClose(nil)
		for _, r := range requests.submitted {
			r.Responder.Respond(router.Response{Status: router.Failed}) // too late: the connection is closed
		}
		if c.HasOpenRequests() || transport.Written.Len() != before {
			t.Errorf("open requests: %v, want false; %d bytes written after the close, want 0",
				c.HasOpenRequests(), transport.Written.Len()-before)
		}
	})
}
