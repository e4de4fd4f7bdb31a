package main

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A reload moves the directory, and the new one lists a worker as draining: requests avoid that worker at once, and what
// the old directory still answers changes nothing.
func TestReloadThenDrain(t *testing.T) {
	first := startFakeWorker(t)
	second := startFakeWorker(t)
	h := startHarness(t, "", listedWorker{name: "s-1", addr: first.addr})
	unanswered := h.directory.nextQuery() // to the old directory
	old := h.directory
	moved := newFakeDirectory(t)
	if err := h.reload(strings.Replace(h.configText, old.addr(), moved.addr(), 1)); err != nil {
		t.Fatal(err)
	}
	h.directory = moved
	drained := []listedWorker{{name: "s-1", addr: first.addr, draining: true}, {name: "s-2", addr: second.addr}}
	h.updateEndpoints(2, drained...)
	old.answer(unanswered, 9, listedWorker{name: "s-1", addr: first.addr}, listedWorker{name: "s-3", addr: first.addr})
	h.updateEndpoints(3, drained...)
	c := h.connect()
	for n := range 10 {
		c.sendCall("safe", fmt.Sprintf("%016x", 0xa0+n), "after the drain")
		second.nextRequest().respond("HIT", "done")
		c.response()
	}
	first.expectNoRequest()
}

// While the directory is silent, unreachable or late, requests are served by the list that is known; the list that it
// sends at last replaces it as a whole.
func TestDirectoryOutage(t *testing.T) {
	first := startFakeWorker(t)
	second := startFakeWorker(t)
	h := startHarness(t, "", listedWorker{name: "s-1", addr: first.addr})
	c := h.connect()
	expectServedBy := func(w *fakeWorker, id string) {
		t.Helper()
		c.sendCall("unsafe", id, "a request")
		w.nextRequest().respond("HIT", "done")
		c.expectStatus("served")
	}
	early := h.directory.nextQuery()
	h.directory.nextQuery()
	h.directory.nextQuery() // none of the three was answered yet
	expectServedBy(first, "00000000000000a1")
	from := h.log.end()
	h.directory.answer(early, 2,
		listedWorker{name: "s-1", addr: first.addr}, listedWorker{name: "s-2", addr: second.addr, draining: true})
	h.log.waitFor(t, from, endpointLogged("s-2"))
	expectServedBy(first, "00000000000000a2")

	addr := h.directory.addr()
	from = h.log.end()
	h.directory.close()
	h.log.waitFor(t, from, `msg="directory unreachable"`)
	expectServedBy(first, "00000000000000a3")
	h.directory = newFakeDirectoryAt(t, addr)
	h.updateEndpoints(3, listedWorker{name: "s-2", addr: second.addr}) // the whole list: s-1 has gone
	expectServedBy(second, "00000000000000a4")
	first.expectNoRequest()
}

// A new worker has the address of one that was removed with a request in flight: nothing of the new one's goes over a
// connection to the old one.
func TestWorkerAddressReused(t *testing.T) {
	worker := startFakeWorker(t)
	h := startHarness(t, "", listedWorker{name: "s-1", addr: worker.addr})
	c := h.connect()
	c.sendCall("unsafe", "00000000000000a1", "to the old one")
	old := worker.nextRequest()
	h.updateEndpoints(2, listedWorker{name: "s-2", addr: worker.addr})
	c.sendCall("unsafe", "00000000000000a2", "to the new one")
	fresh := worker.nextRequest()
	if fresh.conn == old.conn {
		t.Error("a request to the new worker went over a connection to the old one")
	}
	old.respond("HIT", "done")
	fresh.respond("HIT", "done")
	for range 2 {
		c.expectStatus("served")
	}
}

// A worker that restarted at its address has dropped the connections to its old process: a request that must not be
// repeated is not tried on one of them.
func TestWorkerRestartsAtSameAddress(t *testing.T) {
	worker := startFakeWorker(t)
	h := startHarness(t, "", listedWorker{name: "s-1", addr: worker.addr})
	c := h.connect()
	c.sendCall("unsafe", "00000000000000a1", "to the old process")
	old := worker.nextRequest()
	old.respond("HIT", "done")
	c.response()
	started := time.Now().UnixMilli() + 1 // in whole milliseconds; the dial may have been in the present one
	h.updateEndpoints(2, listedWorker{name: "s-1", addr: worker.addr, startedUnixMs: started})
	c.sendCall("unsafe", "00000000000000a2", "to the new process")
	r := worker.nextRequest()
	if r.conn == old.conn {
		t.Fatal("the request went over a connection to the old process")
	}
	r.respond("HIT", "done")
	c.expectStatus("served")
}

// A process starts with a list whose workers no longer run; a worker that only the directory lists serves.
func TestStaleInitialEndpoints(t *testing.T) {
	gone := newFakeWorker(t)
	worker := startFakeWorker(t)
	gone.stop()
	h := startHarness(t, manyAttempts,
		listedWorker{name: "s-1", addr: gone.addr}, listedWorker{name: "s-2", addr: gone.addr})
	h.updateEndpoints(7, listedWorker{name: "s-3", addr: worker.addr})
	c := h.connect()
	c.sendCall("unsafe", "00000000000000a1", "one")
	worker.nextRequest().respond("HIT", "done")
	c.expectStatus("served")
}
