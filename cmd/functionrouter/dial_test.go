package main

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
)

// Checks that the router sends nothing over a dial that completes after its worker has begun to drain or was removed,
// and that it sends the request that waited for the dial to another worker at once.
func TestDialCompletesAfterDrain(t *testing.T) {
	for _, test := range []struct {
		name         string
		entriesAfter func(addr string) []listedWorker // entries of the worker at addr in the new list
	}{
		{"draining", func(addr string) []listedWorker { return []listedWorker{{name: "s-1", addr: addr, draining: true}} }},
		{"removed", func(string) []listedWorker { return nil }},
	} {
		t.Run(test.name, func(t *testing.T) {
			worker := startFullBacklogWorker(t)
			readyWorker := startFakeWorker(t)
			h := startHarness(t, longDialTimeout, listedWorker{name: "s-1", addr: worker.addr})
			c := h.connect()
			c.sendCall("unsafe", "00000000000000a1", "one")
			c.checkHealth()
			if connectingSockets(t, worker.addr) == 0 {
				t.Fatal("the router is not dialing the worker")
			}
			h.updateEndpoints(2, append([]listedWorker{{name: "s-2", addr: readyWorker.addr}}, test.entriesAfter(worker.addr)...)...)
			readyWorker.nextRequest().respond("HIT", "done")
			c.expectStatus("served")
			if connectingSockets(t, worker.addr) > 0 {
				t.Error("the router continues the dial to a worker that drains or was removed")
			}
			worker.startAccepting()
			worker.expectNoRequest()
		})
	}
}

// Checks that the router sends nothing over a dial that completes after its timeout, when the router has already
// sent the request to another worker.
func TestDialCompletesAfterTimeout(t *testing.T) {
	worker := startFullBacklogWorker(t)
	readyWorker := startFakeWorker(t)
	h := startHarness(t, `"limits":{"dialTimeoutMs":300},`, listedWorker{name: "s-1", addr: worker.addr})
	c := h.connect()
	c.sendCall("unsafe", "00000000000000a1", "one")
	c.checkHealth()
	h.updateEndpoints(2, listedWorker{name: "s-1", addr: worker.addr}, listedWorker{name: "s-2", addr: readyWorker.addr})
	readyWorker.nextRequest().respond("HIT", "done")
	c.expectStatus("served")
	worker.startAccepting() // the router has closed its side of the dial by now
	c.sendCall("unsafe", "00000000000000a2", "two")
	r := worker.nextRequestToEither(readyWorker) // over a new dial to worker, or to readyWorker
	if r.body != "two" {
		t.Errorf("a worker received the request %q, want %q", r.body, "two")
	}
	r.respond("HIT", "done")
	c.response()
	worker.expectNoRequest()
}

// Checks that a list in which many workers drain at once costs a request that waits for a dial only one attempt, not
// one attempt for each draining worker.
func TestManyWorkersDrainAtOnce(t *testing.T) {
	var initial, drained []listedWorker
	for i := range 12 {
		w := listedWorker{name: fmt.Sprintf("s-%02d", i), addr: startFullBacklogWorker(t).addr}
		initial = append(initial, w)
		w.draining = true
		drained = append(drained, w)
	}
	readyWorker := startFakeWorker(t)
	h := startHarness(t, `"limits":{"dialTimeoutMs":15000,"maxAttempts":2},`, initial...)
	c := h.connect()
	c.sendCall("unsafe", "00000000000000a1", "one")
	c.checkHealth()
	h.updateEndpoints(2, append(drained, listedWorker{name: "s-99", addr: readyWorker.addr})...)
	readyWorker.nextRequest().respond("HIT", "done")
	c.expectStatus("served")
}

// connectingSockets returns the number of sockets on this machine that are connecting to addr (proc(5), net/tcp).
func connectingSockets(t *testing.T, addr string) int {
	t.Helper()
	const synSent = "02"
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	ip := parsed.Addr().As4()
	remote := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), parsed.Port())
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for line := range strings.Lines(string(table)) {
		if fields := strings.Fields(line); len(fields) > 3 && fields[2] == remote && fields[3] == synSent {
			count++
		}
	}
	return count
}
