package main

import (
	"io"
	"testing"
	"time"
)

// Checks what happens if a worker closes its connection while it may have run a request: the router retries an
// idempotent request on another worker, and fails any other request at once.
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

// Checks that the router drops further responses to a request that it has already answered: one that the worker sends
// together with the first response, one that arrives during the next request on the same connection to the worker, and
// one that arrives during a request that reuses the ID.
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
	secondRequest.respond("HIT", "second request")
	expectServedWith("second request")
	// A client may reuse the ID of a request that has ended, if the request may run twice. A late response to the first
	// request must not end the second.
	c.sendCall("safe", "00000000000000a3", "three")
	thirdRequest := worker.nextRequest()
	thirdRequest.respond("HIT", "third request")
	expectServedWith("third request")
	c.sendCall("safe", "00000000000000a3", "again")
	reusedIDRequest := worker.nextRequest()
	thirdRequest.respond("HIT", "fourth")
	c.checkHealth() // an answer to the client would arrive before those to the health checks
	reusedIDRequest.respond("HIT", "reused ID")
	expectServedWith("reused ID")
}

// Checks that the router does not close a connection with a partially received request to make room for new
// connections. It closes the connection of an idle client instead, even if that client was active more recently.
func TestPartialRequestIsNotEvicted(t *testing.T) {
	worker := startFakeWorker(t)
	h := startHarness(t, "", listedWorker{name: "s-1", addr: worker.addr})
	partial := h.connect()
	partial.checkHealth()
	frame := partial.callFrame("safe", "00000000000000a1", "in two pieces", 5*time.Second)
	partial.sendBytes(frame[:len(frame)/2])
	for range testSockets / clientDescriptorDivisor { // the limit on accepted connections
		h.connect().checkHealth()
	}
	partial.sendBytes(frame[len(frame)/2:])
	worker.nextRequest().respond("HIT", "done")
	partial.expectStatus("served")
}
