package main

import (
	"io"
	"testing"
	"time"
)

// A worker that closes its connection under a request may have run it: an idempotent request goes to another worker, any
// other fails at once.
func TestWorkerClosesDuringRequest(t *testing.T) {
	for _, test := range []struct {
		class   string
		want    string
		retried bool
	}{
		{class: "safe", want: "served", retried: true},
		{class: "unsafe", want: "failed", retried: false},
	} {
		t.Run(test.class, func(t *testing.T) {
			h, first, second := startHarnessWithTwoWorkers(t)
			c := h.connect()
			c.sendCall(test.class, "00000000000000a1", "one")
			if err := first.nextRequestToEither(second).conn.Close(); err != nil {
				t.Fatal(err)
			}
			if test.retried {
				first.nextRequestToEither(second).respond("HIT", "done")
			}
			c.expectStatus(test.want)
			first.expectNoRequest()
			second.expectNoRequest()
		})
	}
}

// A second response, in one piece with the first and behind it, reaches nobody: neither the client that has its answer
// nor the one whose request is next on that connection.
func TestDuplicateResponseIsDropped(t *testing.T) {
	worker := startFakeWorker(t)
	h := startHarness(t, "", listedWorker{name: "s-1", addr: worker.addr})
	c := h.connect()
	expectServedWith := func(want string) {
		t.Helper()
		if body := c.expectStatus("served"); body != want {
			t.Errorf("the request was served with %q, want %q", body, want)
		}
	}
	c.sendCall("unsafe", "00000000000000a1", "one")
	firstRequest := worker.nextRequest()
	if _, err := io.WriteString(firstRequest.conn, firstRequest.reply("HIT", "first")+firstRequest.reply("HIT", "second")); err != nil {
		t.Fatal(err)
	}
	expectServedWith("first")
	c.sendCall("unsafe", "00000000000000a2", "two")
	secondRequest := worker.nextRequest()
	firstRequest.respond("HIT", "third")
	secondRequest.respond("HIT", "of two")
	expectServedWith("of two")
	// The ID of a request that has ended may be used again; a late response to the first must not end the second.
	c.sendCall("unsafe", "00000000000000a1", "again")
	reusedIDRequest := worker.nextRequest()
	firstRequest.respond("HIT", "fourth")
	c.checkHealth() // an answer would come before those to the health checks
	reusedIDRequest.respond("HIT", "of the last")
	expectServedWith("of the last")
}

// A connection on which half a request has come is not closed to make room for others: an idle client's is, also one
// that was active later.
func TestPartialRequestIsNotEvicted(t *testing.T) {
	worker := startFakeWorker(t)
	h := startHarness(t, "", listedWorker{name: "s-1", addr: worker.addr})
	partial := h.connect()
	partial.checkHealth()
	frame := partial.callFrame("safe", "00000000000000a1", "in two pieces", 5*time.Second)
	partial.sendBytes(frame[:len(frame)/2])
	for range testSockets / clientDescriptorDivisor { // as many as may be accepted
		h.connect().checkHealth()
	}
	partial.sendBytes(frame[len(frame)/2:])
	worker.nextRequest().respond("HIT", "done")
	partial.expectStatus("served")
}
