package thrift

import (
	"testing"

	"functionrouter/internal/router"
)

// Whatever a client sends, in whatever pieces, the connection neither panics nor keeps more than a frame. Each call that
// it submits is replied to at most once, whichever way the connection ends.
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
			t.Errorf("%d bytes are kept", len(c.partialFrame))
		}
		if endsInput {
			c.OnEndOfInput()
		}
		before := transport.Written.Len()
		c.OnClose(nil)
		for _, r := range requests.submitted {
			r.Responder.Respond(router.Response{Status: router.Failed}) // late: nobody reads it
		}
		if c.HasOpenRequests() || transport.Written.Len() != before {
			t.Errorf("open requests: %v, %d bytes after the close", c.HasOpenRequests(), transport.Written.Len()-before)
		}
	})
}
