package main

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"
)

// Guards against requests that run twice although they must not: the router forgot a call once its client had left, and
// ran it again when its id came from another client.
func TestUnsafeCallRunsOnceIfItsIDReturns(t *testing.T) {
	const calls = 6
	for name, leave := range map[string]func(c *testClient) error{
		"close": (*testClient).Close,
		"reset": func(c *testClient) error {
			return errors.Join(c.Conn.(*net.TCPConn).SetLinger(0), c.Close())
		},
		"interrupt": func(c *testClient) error {
			for sequence := range uint32(calls) {
				if _, err := c.Write(interruptFrame(sequence + 1)); err != nil {
					return err
				}
			}
			return nil
		},
		"answer": nil, // the client stays, and gets its answers
	} {
		t.Run(name, func(t *testing.T) {
			worker := newListeningWorker(t)
			worker.startAccepting()
			h := startHarness(t, deploymentSettings, listedWorker{name: "s-1", addr: worker.addr})
			id := func(n int) string { return fmt.Sprintf("%016x", 0xa0+n) }
			first := h.connect()
			for n := range calls {
				first.sendBytes(first.callFrame("unsafe", id(n), "first", 5*time.Second, "props", functionProperties))
			}
			var running []workerRequest
			for range calls {
				running = append(running, worker.nextRequest())
			}
			if leave == nil {
				for _, r := range running {
					r.respond("HIT", "done")
					first.expectStatus("served")
				}
			} else if err := leave(first); err != nil {
				t.Fatal(err)
			}
			second := h.connect()
			second.checkHealth() // the router has read how the first client left
			for n := range calls {
				second.sendBytes(second.callFrame("unsafe", id(n), "second", time.Second, "props", functionProperties))
			}
			for range calls {
				second.expectStatus("failed")
			}
			worker.expectNoRequest()
		})
	}
}
