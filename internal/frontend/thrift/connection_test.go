package thrift

import (
	"fmt"
	"testing"

	"functionrouter/internal/router"
)

// Guards against a client that uses a sequence ID twice, or a lower one than before, so that it could take the reply to
// one call for the reply to another. The earlier call is either still open or has its reply.
func TestSequenceIDsMustIncrease(t *testing.T) {
	for _, answered := range []bool{true, false} {
		for sequenceID := range uint32(3) {
			t.Run(fmt.Sprintf("%d after 2, answered %v", sequenceID, answered), func(t *testing.T) {
				c, requests, transport := newTestConnection()
				c.OnData(executeFrame(2, "", validFields...))
				if answered {
					requests.submitted[0].Responder.Respond(router.Response{})
				}
				c.OnData(executeFrame(sequenceID, "", validFields...))
				c.OnData(executeFrame(5, "", validFields...))
				if len(requests.submitted) != 1 || !transport.Closed || c.HasOpenRequests() {
					t.Errorf("%d requests submitted, want 1; closed: %v, want true; open requests: %v, want false",
						len(requests.submitted), transport.Closed, c.HasOpenRequests())
				}
			})
		}
	}
}

// Guards against one client that takes the capacity of the others with too many calls on one connection. Each call
// above the limit must be refused with a reply, and the calls within the limit must stay open.
func TestCallsBeyondTheLimitAreRefused(t *testing.T) {
	const calls = 200
	c, requests, transport := newTestConnection()
	for i := range uint32(calls) {
		c.OnData(executeFrame(i+1, "", validFields...))
	}
	if len(requests.submitted) != maxOpenCalls || requests.refused != calls-maxOpenCalls || transport.Closed ||
		len(c.openCalls) != maxOpenCalls {
		t.Fatalf("%d requests submitted, want %d; %d refused, want %d; %d calls open, want %d; connection closed: %v, want false",
			len(requests.submitted), maxOpenCalls, requests.refused, calls-maxOpenCalls, len(c.openCalls), maxOpenCalls,
			transport.Closed)
	}
	for i := range uint32(calls - maxOpenCalls) {
		if sequenceID, field := readReply(t, transport); sequenceID != maxOpenCalls+1+i || field != resultBackoffField {
			t.Fatalf("the reply to sequence ID %d has result field %d, want field %d and sequence ID %d",
				sequenceID, field, resultBackoffField, maxOpenCalls+1+i)
		}
	}
	requests.submitted[0].Responder.Respond(router.Response{})
	c.OnData(executeFrame(calls+1, "", validFields...))
	if len(requests.submitted) != maxOpenCalls+1 {
		t.Errorf("%d requests submitted after a reply to an open call and another call, want %d",
			len(requests.submitted), maxOpenCalls+1)
	}
}

// Guards against wasted time and memory: an incomplete frame that is copied at each read when it arrives byte by
// byte, and a small body that keeps the whole read buffer in memory.
func TestReadsAreNotCopiedRepeatedlyOrRetained(t *testing.T) {
	const runs = 2 // AllocsPerRun calls the function once before the call that it measures
	c, requests, _ := newTestConnection()
	var frames [runs][]byte
	for i := range frames {
		frames[i] = executeFrame(uint32(i+1), string(make([]byte, maxBodyBytes)), validFields...)
	}
	run := 0
	allocations := testing.AllocsPerRun(runs-1, func() {
		frame := frames[run]
		run++
		for i := range frame {
			c.OnData(frame[i : i+1])
		}
		if complete, partial := c.MessageProgress(); complete != run || partial {
			t.Errorf("%d complete messages, want %d; incomplete message: %v, want false", complete, run, partial)
		}
	})
	if allocations > 80 || len(requests.submitted) != runs {
		t.Errorf("%v allocations, want at most 80; %d requests submitted, want %d",
			allocations, len(requests.submitted), runs)
	}
	for _, r := range requests.submitted {
		if len(r.Body) != maxBodyBytes {
			t.Errorf("the submitted body has %d bytes, want %d", len(r.Body), maxBodyBytes)
		}
	}

	c, requests, _ = newTestConnection()
	read := append(executeFrame(1, "small", validFields...), make([]byte, 3)...)
	c.OnData(read)
	clear(read)
	if string(requests.submitted[0].Body) != "small" {
		t.Errorf("the submitted body is %q after the read buffer was cleared, want \"small\"", requests.submitted[0].Body)
	}
}
