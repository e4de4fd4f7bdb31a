package main

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
)

// A dial that completes after its worker began to drain, or was removed, carries nothing; the request that waited for
// it goes to another worker at once.
func TestDialCompletesAfterDrain(t *testing.T) {
	for _, test := range []struct {
		name  string
		after func(addr string) []listedWorker
	}{
		{"draining", func(addr string) []listedWorker { return []listedWorker{{name: "s-1", addr: addr, draining: true}} }},
		{"gone", func(string) []listedWorker { return nil }},
	} {
		t.Run(test.name, func(t *testing.T) {
			worker := startFullBacklogWorker(t)
			readyWorker := startFakeWorker(t)
			h := startHarness(t, longDialTimeout, listedWorker{name: "s-1", addr: worker.addr})
			c := h.connect()
			c.sendCall("unsafe", "00000000000000a1", "one")
			c.checkHealth()
			if connectingSockets(t, worker.addr) == 0 {
				t.Fatal("the worker is not being dialed")
			}
			h.updateEndpoints(2, append([]listedWorker{{name: "s-2", addr: readyWorker.addr}}, test.after(worker.addr)...)...)
			readyWorker.nextRequest().respond("HIT", "done")
			c.expectStatus("served")
			if connectingSockets(t, worker.addr) > 0 {
				t.Error("a dial that can only complete too late for its worker goes on")
			}
			worker.startAccepting()
			worker.expectNoRequest()
		})
	}
}

// A dial that completes after its timeout carries nothing: its request went elsewhere at the timeout.
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
	worker.startAccepting() // the kernel's half of the dial has been closed meanwhile
	c.sendCall("unsafe", "00000000000000a2", "two")
	r := worker.nextRequestToEither(readyWorker) // over a dial of its own, or the other's
	if r.body != "two" {
		t.Errorf("a worker was sent %q", r.body)
	}
	r.respond("HIT", "done")
	c.response()
	worker.expectNoRequest()
}

// A list in which all but one of many workers drain costs a request that waits for a dial one attempt, not one for each
// of them.
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

// connectingSockets returns how many sockets of this machine are connecting to addr (proc(5), net/tcp).
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
