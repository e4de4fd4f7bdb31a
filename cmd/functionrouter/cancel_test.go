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
			worker := startFullBacklogWorker(t)
			h := startHarness(t, longDialTimeout, listedWorker{name: "s-1", addr: worker.addr})
			cancelling := h.connect()
			waiting := h.connect()
			cancelling.sendCall("safe", "00000000000000a1", "cancelled")
			waiting.checkHealth()
			test.cancel(cancelling)
			waiting.checkHealth()
			waiting.sendCall("safe", "00000000000000a2", "not cancelled")
			waiting.checkHealth()
			worker.startAccepting()
			r := worker.nextRequest()
			if r.body != "not cancelled" {
				t.Fatalf("the worker was sent %q", r.body)
			}
			r.respond("HIT", "done")
			waiting.expectStatus("served")
			worker.expectNoRequest()
		})
	}
}

// A request that its client cancelled while it was in flight is not retried when the attempt fails.
func TestCancelBeforeRetry(t *testing.T) {
	for _, test := range cancellations {
		t.Run(test.name, func(t *testing.T) {
			h, first, second := startHarnessWithTwoWorkers(t)
			cancelling := h.connect()
			barrier := h.connect()
			cancelling.sendCall("safe", "00000000000000a1", "one")
			r := first.nextRequestToEither(second)
			test.cancel(cancelling)
			barrier.checkHealth()
			r.respond("FAULT", "")
			r.respond("NONE", "")
			barrier.checkHealth() // both have been read
			first.expectNoRequest()
			second.expectNoRequest()
		})
	}
}

// The process is paused while a client sends a call and closes its connection: no attempt is sent for it when the
// process continues.
func TestDisconnectedClientAfterPause(t *testing.T) {
	worker := startFakeWorker(t)
	h, _ := newHarness(t, newFakeDirectory(t), testSockets, "", listedWorker{name: "s-1", addr: worker.addr})
	process := h.startProcess(testSockets)
	disconnected := h.connect()
	waiting := h.connect()
	disconnected.checkHealth()
	waiting.sendCall("safe", "00000000000000a0", "to open a connection to the worker")
	worker.nextRequest().respond("HIT", "done")
	waiting.expectStatus("served")
	pause(t, process)
	disconnected.sendCall("safe", "00000000000000a1", "of a client that has gone")
	disconnected.close()
	signalProcess(t, process, unix.SIGCONT)
	waiting.checkHealth()
	waiting.sendCall("safe", "00000000000000a2", "of one that waits")
	r := worker.nextRequest()
	if r.body != "of one that waits" {
		t.Fatalf("the worker was sent %q", r.body)
	}
	r.respond("HIT", "done")
	waiting.expectStatus("served")
	worker.expectNoRequest()
}
