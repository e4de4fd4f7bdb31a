package main

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"
)

// noSlowStart are additional settings by which a worker that has just started takes requests at once.
const noSlowStart = `"limits":{"cancel":true,"dialTimeoutMs":1000,"maxAttempts":3,"streamsPerConn":32},`

// Guards against calls that go to the process that a worker's new one has replaced, and against calls that run twice: the
// old process lives on and answers, or its machine has vanished and is silent. The directory may tell of the new process
// twice.
func TestNewProcessIsNotTakenForTheOldOne(t *testing.T) {
	const shortWait = 300 * time.Millisecond
	for _, test := range []struct {
		name       string
		newName    string
		oldAnswers bool
	}{
		{"same name, old process lives on", "s-1", true},
		{"same name, old machine is silent", "s-1", false},
		{"other name, old process lives on", "s-2", true},
		{"other name, old machine is silent", "s-2", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			worker := newListeningWorker(t)
			worker.startAccepting()
			h := startHarness(t, noSlowStart, listedWorker{name: "s-1", addr: worker.addr})
			c := h.connect()
			c.sendBytes(c.callFrame("unsafe", "00000000000000a1", "to the old process", shortWait, "props", functionProperties))
			old := worker.nextRequest()
			started := time.Now().Add(-2 * time.Second) // the directory's clock is behind
			listed := listedWorker{name: test.newName, addr: worker.addr, startedUnixMs: started.UnixMilli()}
			h.updateEndpoints(2, listed)
			h.updateEndpoints(3, listed)
			for n := range 3 {
				c.sendBytes(c.callFrame("unsafe", fmt.Sprintf("%016x", 0xb0+n), "to the new process", 5*time.Second, "props", functionProperties))
				r := worker.nextRequest()
				if r.conn == old.conn || r.body != "to the new process" {
					t.Fatalf("a request with body %q went over the old connection: %v; want a new one with another body", r.body, r.conn == old.conn)
				}
				r.respond("HIT", "done")
				c.expectStatus("served")
			}
			if test.oldAnswers {
				old.respond("HIT", "done")
				c.expectStatus("served")
			} else {
				c.expectStatus("failed")
			}
			worker.expectNoRequest()
		})
	}
}

// Guards against unsafe calls that run twice when their worker's process dies by a reset, another one comes up at its
// address at once, and the directory tells of it late.
func TestUnsafeCallsOfADeadProcessAreNotSentToItsSuccessor(t *testing.T) {
	const calls = 5
	worker := newListeningWorker(t)
	worker.startAccepting()
	h := startHarness(t, noSlowStart, listedWorker{name: "s-1", addr: worker.addr})
	c := h.connect()
	for n := range calls {
		c.sendBytes(c.callFrame("unsafe", fmt.Sprintf("%016x", 0xa0+n), "to the old process", 5*time.Second, "props", functionProperties))
	}
	connections := map[net.Conn]bool{}
	for range calls {
		connections[worker.nextRequest().conn] = true
	}
	for conn := range connections {
		if err := errors.Join(conn.(*net.TCPConn).SetLinger(0), conn.Close()); err != nil {
			t.Fatal(err)
		}
	}
	for range calls {
		c.expectStatus("failed")
	}
	h.updateEndpoints(2, listedWorker{name: "s-2", addr: worker.addr, startedUnixMs: time.Now().UnixMilli()})
	c.checkHealth()
	worker.expectNoRequest()
}
