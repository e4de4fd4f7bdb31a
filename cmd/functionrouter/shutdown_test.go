package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// From socket to socket: a request is served, also after a reload that moves the directory, after one that can't be
// used, and on an open connection after SIGTERM; the program then ends by itself and without an error.
func TestServeReloadShutdown(t *testing.T) {
	worker := startFakeWorker(t)
	h := startHarness(t, "", listedWorker{name: "s-1", addr: worker.addr})
	newDirectory := newFakeDirectory(t) // the directory at its next address; neither ever answers
	c := h.connect()
	for i, step := range []struct {
		body   string
		before func()
	}{
		{"before", func() {}},
		{"moved", func() {
			if err := h.reload(strings.Replace(h.configText, h.directory.addr(), newDirectory.addr(), 1)); err != nil {
				t.Errorf("reloaded: %v", err)
			}
			newDirectory.nextQuery()
		}},
		{"unread", func() {
			if err := h.reload(h.configText[:len(h.configText)/2]); err == nil {
				t.Error("half a file was reloaded")
			}
		}},
		{"after", func() { h.signal(syscall.SIGTERM) }},
	} {
		step.before()
		c.sendCall("unsafe", fmt.Sprintf("%016x", i), step.body)
		r := worker.nextRequest()
		if r.body != step.body {
			t.Errorf("ran %q", r.body)
		}
		r.respond("HIT", "done "+step.body)
		if status, body := c.response(); status != "served" || body != "done "+step.body {
			t.Fatalf("the request was %s with %q", status, body)
		}
	}
	h.waitForExit()
}

// A request of which half has come at SIGTERM is answered, however late its rest comes within the time that a message
// has; so is one on a connection made after SIGTERM.
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

// A request in flight at SIGTERM gets its answer, however late, before the router ends.
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
		t.Errorf("the request was served with %q", body)
	}
	h.waitForExit()
}
