package thrift

import (
	"fmt"
	"testing"

	"functionrouter/internal/router"
)

// Guards against a sequence ID that is used again, whether its call is open or has been replied to: a reply could be
// taken for the other call's.
func TestSequenceIDsMustGoUp(t *testing.T) {
	for _, answered := range []bool{true, false} {
		for again := range uint32(3) {
			t.Run(fmt.Sprintf("%d after 2, answered %v", again, answered), func(t *testing.T) {
				c, requests, transport := newTestConnection()
				c.OnData(executeFrame(2, "", validFields...))
				if answered {
					requests.submitted[0].Responder.Respond(router.Response{})
				}
				c.OnData(executeFrame(again, "", validFields...))
				c.OnData(executeFrame(5, "", validFields...))
				if len(requests.submitted) != 1 || !transport.Closed || c.HasOpenRequests() {
					t.Errorf("%d submitted, closed %v, has open requests %v",
						len(requests.submitted), transport.Closed, c.HasOpenRequests())
				}
			})
		}
	}
}

// Guards the capacity that other clients need: calls beyond the limit on one connection are refused, each with a
// reply, and those within it go on.
func TestCallsBeyondTheLimitAreRefused(t *testing.T) {
	const calls = 200
	c, requests, transport := newTestConnection()
	for i := range uint32(calls) {
		c.OnData(executeFrame(i+1, "", validFields...))
	}
	if len(requests.submitted) != maxOpenCalls || requests.refused != calls-maxOpenCalls || transport.Closed ||
		len(c.openCalls) != maxOpenCalls {
		t.Fatalf("%d submitted, %d refused, %d open, closed %v",
			len(requests.submitted), requests.refused, len(c.openCalls), transport.Closed)
	}
	for i := range uint32(calls - maxOpenCalls) {
		if sequenceID, field := readReply(t, transport); sequenceID != maxOpenCalls+1+i || field != resultBackoffField {
			t.Fatalf("the reply to %d has field %d", sequenceID, field)
		}
	}
	requests.submitted[0].Responder.Respond(router.Response{})
	c.OnData(executeFrame(calls+1, "", validFields...))
	if len(requests.submitted) != maxOpenCalls+1 {
		t.Error("a call after a reply was not submitted")
	}
}

// Guards memory and time: the beginning of a frame is not copied for each byte that arrives, and one small body does
// not keep the whole read that it arrived in.
func TestReadsAreNeitherCopiedRepeatedlyNorKept(t *testing.T) {
	const runs = 2 // AllocsPerRun has one before the run that it measures
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
			t.Errorf("%d complete messages, want %d; another partial: %v", complete, run, partial)
		}
	})
	if allocations > 80 || len(requests.submitted) != runs {
		t.Errorf("%v allocations, %d submitted", allocations, len(requests.submitted))
	}
	for _, r := range requests.submitted {
		if len(r.Body) != maxBodyBytes {
			t.Errorf("a body of %d bytes, want %d", len(r.Body), maxBodyBytes)
		}
	}

	c, requests, _ = newTestConnection()
	read := append(executeFrame(1, "small", validFields...), make([]byte, 3)...)
	c.OnData(read)
	clear(read)
	if string(requests.submitted[0].Body) != "small" {
		t.Error("the body points into the read")
	}
}
