package main

import (
	"testing"

	"golang.org/x/sys/unix"
)

// cancellations are the ways in which a client cancels its last request.
var cancellations = []struct {
	name   string
	cancel func(c *testClient)
}{
	{"closes", func(c *testClient) { c.close() }},
	{"interrupts", func(c *testClient) { c.sendInterrupt(c.lastSequence) }},
}

// No attempt is sent for a client that has cancelled, also where the settings do not allow cancels of attempts: an
// attempt that waits for a dial ends unsent.
func TestCancelWhileDialing(t *testing.T) {
	for _, test := range cancellations {
		t.Run(test.name, func(t *testing.T) {
			worker := startFullWorker(t)
			h := startHarness(t, longDialTimeout, listedWorker{name: "s-1", addr: worker.addr})
			c := h.connect()
			other := h.connect()
			c.sendCall("safe", "00000000000000a1", "cancelled")
			other.checkHealth()
			test.cancel(c)
			other.checkHealth()
			other.sendCall("safe", "00000000000000a2", "not cancelled")
			other.checkHealth()
			worker.startAccepting()
			r := worker.nextRequest()
			if r.body != "not cancelled" {
				t.Fatalf("the worker was sent %q", r.body)
			}
			r.respond("HIT", "done")
			other.expectStatus("served")
			worker.expectNoRequest()
		})
	}
}

// A request that its client cancelled while it was in flight is not retried when the attempt fails.
func TestCancelBeforeRetry(t *testing.T) {
	for _, test := range cancellations {
		t.Run(test.name, func(t *testing.T) {
			h, first, second := startWithTwoWorkers(t)
			c := h.connect()
			other := h.connect()
			c.sendCall("safe", "00000000000000a1", "one")
			r := first.nextRequestOfEither(second)
			test.cancel(c)
			other.checkHealth()
			r.respond("FAULT", "")
			r.respond("NONE", "")
			other.checkHealth() // both have been read
			first.expectNoRequest()
			second.expectNoRequest()
		})
	}
}

// The process is paused while a client sends a call and closes its connection: no attempt is sent for it when the
// process continues.
func TestCallOfGoneClientAfterAPause(t *testing.T) {
	worker := startFakeWorker(t)
	h, _ := newHarness(t, newFakeDirectory(t), testSockets, "", listedWorker{name: "s-1", addr: worker.addr})
	process := h.startProcess(testSockets)
	gone := h.connect()
	other := h.connect()
	gone.checkHealth()
	other.sendCall("safe", "00000000000000a0", "to open a connection to the worker")
	worker.nextRequest().respond("HIT", "done")
	other.expectStatus("served")
	pause(t, process)
	gone.sendCall("safe", "00000000000000a1", "of a client that has gone")
	gone.close()
	signalProcess(t, process, unix.SIGCONT)
	other.checkHealth()
	other.sendCall("safe", "00000000000000a2", "of one that waits")
	r := worker.nextRequest()
	if r.body != "of one that waits" {
		t.Fatalf("the worker was sent %q", r.body)
	}
	r.respond("HIT", "done")
	other.expectStatus("served")
	worker.expectNoRequest()
}
