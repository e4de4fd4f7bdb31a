package main

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Checks that a drain announced by a new directory takes effect at once. A reload changes the directory's address, and
// the new directory lists a worker as draining. Requests must avoid that worker, and a late answer from the old
// directory must change nothing.
func TestReloadThenDrain(t *testing.T) {
	first := startFakeWorker(t)
	second := startFakeWorker(t)
	h := startHarness(t, "", listedWorker{name: "s-1", addr: first.addr})
	pendingQuery := h.directory.nextQuery() // to the old directory
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

// Checks that the router uses the list that it has while the directory is silent, unreachable or late, and that the
// next list from the directory replaces it completely.
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
	h.directory.nextQuery() // none of the three queries has been answered yet
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
	h.updateEndpoints(3, listedWorker{name: "s-2", addr: second.addr}) // a list without s-1
	expectServedBy(second, "00000000000000a4")
	first.expectNoRequest()
}

// Checks that requests to a new worker do not use connections to an old worker that had the same address and was
// removed while a request was in flight.
func TestWorkerAddressReused(t *testing.T) {
	worker := startFakeWorker(t)
	h := startHarness(t, "", listedWorker{name: "s-1", addr: worker.addr})
	c := h.connect()
	c.sendCall("unsafe", "00000000000000a1", "to the old worker")
	oldRequest := worker.nextRequest()
	h.updateEndpoints(2, listedWorker{name: "s-2", addr: worker.addr})
	c.sendCall("unsafe", "00000000000000a2", "to the new worker")
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

// Checks that, after a worker has restarted at the same address, the router does not use a connection to its old
// process for a request that must not be repeated. The restart has broken that connection.
func TestWorkerRestartsAtSameAddress(t *testing.T) {
	worker := startFakeWorker(t)
	h := startHarness(t, "", listedWorker{name: "s-1", addr: worker.addr})
	c := h.connect()
	c.sendCall("unsafe", "00000000000000a1", "to the old process")
	oldRequest := worker.nextRequest()
	oldRequest.respond("HIT", "done")
	c.response()
	started := time.Now().UnixMilli() + 1 // rounded up, because the dial may have been in the current millisecond
	h.updateEndpoints(2, listedWorker{name: "s-1", addr: worker.addr, startedUnixMs: started})
	c.sendCall("unsafe", "00000000000000a2", "to the new process")
	newRequest := worker.nextRequest()
	if newRequest.conn == oldRequest.conn {
		t.Fatal("the request went over a connection to the old process")
	}
	newRequest.respond("HIT", "done")
	c.expectStatus("served")
}

// Checks that a router whose initial list contains only stopped workers sends requests to a worker that only the
// directory lists.
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
