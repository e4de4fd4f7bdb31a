package main

import (
	"testing"

	"golang.org/x/sys/unix"
)

// cancellations are the ways in which a client cancels its latest request.
var cancellations = []struct {
	name   string
	cancel func(c *testClient)
}{
	{"close connection", func(c *testClient) { c.close() }},
	{"send interrupt", func(c *testClient) { c.sendInterrupt(c.lastSequence) }},
}

// Checks that the router sends no attempt for a client that has cancelled its request while the attempt waits for a
// dial. This must hold although the settings of the test do not allow the router to cancel attempts.
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
				t.Fatalf("the worker received the request %q, want %q", r.body, "not cancelled")
			}
			r.respond("HIT", "done")
			waiting.expectStatus("served")
			worker.expectNoRequest()
		})
	}
}

// Checks that the router does not retry a request after a failed attempt if the client cancelled the request while the
// attempt was in flight.
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
			barrier.checkHealth() // the router has read both responses
			first.expectNoRequest()
			second.expectNoRequest()
		})
	}
}

// Checks that the router sends no attempt for a call whose client closed its connection while the process was paused.
// The client sends the call and closes during the pause, so that the router reads both when it continues.
func TestDisconnectedClientAfterPause(t *testing.T) {
	worker := startFakeWorker(t)
	h, _ := newHarness(t, newFakeDirectory(t), testSockets, "", listedWorker{name: "s-1", addr: worker.addr})
	process := h.startProcess(testSockets)
	disconnected := h.connect()
	waiting := h.connect()
	disconnected.checkHealth()
	waiting.sendCall("safe", "00000000000000a0", "opens a connection to the worker")
	worker.nextRequest().respond("HIT", "done")
	waiting.expectStatus("served")
	pause(t, process)
	disconnected.sendCall("safe", "00000000000000a1", "from a disconnected client")
	disconnected.close()
	signalProcess(t, process, unix.SIGCONT)
	waiting.checkHealth()
	waiting.sendCall("safe", "00000000000000a2", "from a waiting client")
	r := worker.nextRequest()
	if r.body != "from a waiting client" {
		t.Fatalf("the worker received the request %q, want %q", r.body, "from a waiting client")
	}
	r.respond("HIT", "done")
	waiting.expectStatus("served")
	worker.expectNoRequest()
}
