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
	pendingQuery := h.directory.nextQuery() // to the oldDirectory directory
	oldDirectory := h.directory
	newDirectory := newFakeDirectory(t)
	if err := h.reload(strings.Replace(h.configText, oldDirectory.addr(), newDirectory.addr(), 1)); err != nil {
		t.Fatal(err)
	}
	h.directory = newDirectory
	endpoints := []listedWorker{{name: "s-1", addr: first.addr, draining: true}, {name: "s-2", addr: second.addr}}
	h.updateEndpoints(2, endpoints...)
	oldDirectory.answer(pendingQuery, 9, listedWorker{name: "s-1", addr: first.addr}, listedWorker{name: "s-3", addr: first.addr})
	h.updateEndpoints(3, endpoints...)
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
	earliestQuery := h.directory.nextQuery()
	h.directory.nextQuery()
	h.directory.nextQuery() // none of the three was answered yet
	expectServedBy(first, "00000000000000a1")
	offset := h.log.size()
	h.directory.answer(earliestQuery, 2,
		listedWorker{name: "s-1", addr: first.addr}, listedWorker{name: "s-2", addr: second.addr, draining: true})
	h.log.waitFor(t, offset, endpointLogged("s-2"))
	expectServedBy(first, "00000000000000a2")

	addr := h.directory.addr()
	offset = h.log.size()
	h.directory.close()
	h.log.waitFor(t, offset, `msg="directory unreachable"`)
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
	oldRequest := worker.nextRequest()
	h.updateEndpoints(2, listedWorker{name: "s-2", addr: worker.addr})
	c.sendCall("unsafe", "00000000000000a2", "to the new one")
	newRequest := worker.nextRequest()
	if newRequest.conn == oldRequest.conn {
		t.Error("a request to the new worker went over a connection to the old one")
	}
	oldRequest.respond("HIT", "done")
	newRequest.respond("HIT", "done")
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
	oldRequest := worker.nextRequest()
	oldRequest.respond("HIT", "done")
	c.response()
	started := time.Now().UnixMilli() + 1 // in whole milliseconds; the dial may have been in the present one
	h.updateEndpoints(2, listedWorker{name: "s-1", addr: worker.addr, startedUnixMs: started})
	c.sendCall("unsafe", "00000000000000a2", "to the new process")
	newRequest := worker.nextRequest()
	if newRequest.conn == oldRequest.conn {
		t.Fatal("the request went over a connection to the old process")
	}
	newRequest.respond("HIT", "done")
	c.expectStatus("served")
}

// A process starts with a list whose workers no longer run; a worker that only the directory lists serves.
func TestStaleInitialEndpoints(t *testing.T) {
	stoppedWorker := newFakeWorker(t)
	worker := startFakeWorker(t)
	stoppedWorker.stop()
	h := startHarness(t, manyAttempts,
		listedWorker{name: "s-1", addr: stoppedWorker.addr}, listedWorker{name: "s-2", addr: stoppedWorker.addr})
	h.updateEndpoints(7, listedWorker{name: "s-3", addr: worker.addr})
	c := h.connect()
	c.sendCall("unsafe", "00000000000000a1", "one")
	worker.nextRequest().respond("HIT", "done")
	c.expectStatus("served")
}
