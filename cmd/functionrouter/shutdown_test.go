package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Checks that the router serves a request in each of these situations: at the start, after a reload that changes the
// directory's address, after a reload of an invalid configuration, and on an open connection after SIGTERM. It then
// ends without an error.
func TestServeReloadShutdown(t *testing.T) {
	worker := startFakeWorker(t)
	h := startHarness(t, "", listedWorker{name: "s-1", addr: worker.addr})
	newDirectory := newFakeDirectory(t) // the directory at its new address; neither directory answers
	c := h.connect()
	for i, step := range []struct {
		body   string
		before func()
	}{
		{"at the start", func() {}},
		{"after a new directory address", func() {
			if err := h.reload(strings.Replace(h.configText, h.directory.addr(), newDirectory.addr(), 1)); err != nil {
				t.Errorf("the reload failed: %v", err)
			}
			newDirectory.nextQuery()
		}},
		{"after an invalid configuration", func() {
			if err := h.reload(h.configText[:len(h.configText)/2]); err == nil {
				t.Error("the reload of a truncated file returned no error, want one")
			}
		}},
		{"after SIGTERM", func() { h.signal(syscall.SIGTERM) }},
	} {
		step.before()
		c.sendCall("unsafe", fmt.Sprintf("%016x", i), step.body)
		r := worker.nextRequest()
		if r.body != step.body {
			t.Errorf("the worker received the request %q, want %q", r.body, step.body)
		}
		r.respond("HIT", "done "+step.body)
		if status, body := c.response(); status != "served" || body != "done "+step.body {
			t.Fatalf("the request was %s with %q, want served with %q", status, body, "done "+step.body)
		}
	}
	h.waitForExit()
}

// Checks that the router answers a request that is only partially received at SIGTERM, even if the rest arrives when
// the router already refuses requests. It also checks that the router serves a request on a connection that is opened
// after SIGTERM.
func TestPartialRequestAtSIGTERM(t *testing.T) {
	worker := startFakeWorker(t)
	h := startHarness(t, "", listedWorker{name: "s-1", addr: worker.addr})
	partial := h.connect()
	c := h.connect()
	frame := partial.callFrame("safe", "00000000000000a1", "in two pieces", 5*time.Second)
	partial.sendBytes(frame[:len(frame)/2])
	c.checkHealth()
	h.beginShutdown(c)
	newClient := h.connect()
	newClient.sendCall("safe", "00000000000000a2", "on a new connection")
	worker.nextRequest().respond("HIT", "done")
	newClient.expectStatus("served")
	worker.serveAll()
	c.callUntilRefused()
	partial.sendBytes(frame[len(frame)/2:])
	partial.expectStatus("refused")
	h.waitForExit()
}

// Checks that a request that is in flight at SIGTERM gets its answer before the router ends, even if the worker
// responds when the router already refuses requests.
func TestInFlightRequestAtSIGTERM(t *testing.T) {
	worker := startFakeWorker(t)
	h := startHarness(t, "", listedWorker{name: "s-1", addr: worker.addr})
	c := h.connect()
	secondClient := h.connect()
	c.sendCall("unsafe", "00000000000000a1", "one")
	r := worker.nextRequest()
	h.beginShutdown(secondClient)
	worker.serveAll()
	secondClient.callUntilRefused()
	r.respond("HIT", "done late")
	if body := c.expectStatus("served"); body != "done late" {
		t.Errorf("the request was served with %q, want %q", body, "done late")
	}
	h.waitForExit()
}
