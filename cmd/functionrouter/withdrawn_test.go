package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against state of withdrawn requests that stays until the process is killed for its memory: clients send
// requests and withdraw them at once, or close or violate the protocol behind a request, so that the router reads both
// in the same turn.
func TestClientsThatWithdrawAtOnceLeaveNoState(t *testing.T) {
	requestID := func(n int) string { return fmt.Sprintf("%016x", n) }
	worker := startFakeWorker(t)
	worker.serveAll()
	h := startHarness(t, "", listedWorker{name: "s-1", addr: worker.addr})
	usual := h.connect()
	const requests = 100
	interrupting := h.connect()
	var input []byte
	for id := range requests {
		input = append(input, interrupting.callFrame("safe", requestID(id), "", 5*time.Second)...)
		input = append(input, interruptFrame(interrupting.lastSequence)...)
	}
	interrupting.sendBytes(input)
	for id := range requests {
		closing := h.connect()
		input := closing.callFrame("safe", requestID(requests+id), "", 5*time.Second)
		closing.sendBytes(append(input, input[:len(input)/2]...))
		closing.close()
		violating := h.connect()
		input = violating.callFrame("safe", requestID(2*requests+id), "", 5*time.Second)
		violating.sendBytes(append(input, input...)) // the second frame repeats the sequence number
	}
	usual.sendCall("safe", requestID(3*requests), "usual")
	usual.expectStatus("served")
	for deadline := time.Now().Add(testTimeout); ; {
		state := h.stateSizes()
		if strings.Contains(state, " pending_requests=0 ") && strings.Contains(state, " policy_requests=0 policy_attempts_in_flight=0 ") {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%v after the last request the router logs %q, want no requests", testTimeout, state)
		}
	}
}

// stateSizes makes the router log its counters, and returns the line with the sizes of its state.
func (h *harness) stateSizes() string {
	h.t.Helper()
	const message = `msg="state sizes"`
	offset := h.log.size()
	h.signal(syscall.SIGUSR1)
	h.log.waitFor(h.t, offset, `msg="discovery counters"`) // follows the sizes
	_, line, _ := strings.Cut(h.log.since(offset), message)
	line, _, _ = strings.Cut(line, "\n")
	return line
}

// Guards against attempts that begin long after their calls were withdrawn: calls and, behind them, their withdrawal arrive
// while the machine pauses the process. A turn reads a part of the input, so that the calls were sent to a worker in the
// turns before the withdrawal was read.
func TestCallsWithdrawnInUnreadInputAreNotSent(t *testing.T) {
	for name, withdraw := range map[string]func(c *testClient, first uint32){
		"interrupt": func(c *testClient, first uint32) {
			for sequence := first; sequence <= c.lastSequence; sequence++ {
				c.sendInterrupt(sequence)
			}
		},
		"close":      func(c *testClient, _ uint32) { c.close() },
		"half-close": func(c *testClient, _ uint32) { _ = c.Conn.(*net.TCPConn).CloseWrite() },
		"reset": func(c *testClient, _ uint32) {
			_ = c.Conn.(*net.TCPConn).SetLinger(0) // makes close send a reset
			c.close()
		},
	} {
		for _, size := range []struct{ calls, bytes int }{{3, 16000}, {32, 1500}} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size.bytes), func(t *testing.T) {
				worker := startFakeWorker(t)
				h, process := startPinnedProcess(t, func(text string) string { return text },
					listedWorker{name: "s-1", addr: worker.addr})
				usual := h.connect()
				leaving := h.connect()
				usual.checkHealth()
				leaving.checkHealth()
				pause(t, process)
				first := leaving.lastSequence + 1
				for n := range size.calls {
					leaving.sendCall("safe", fmt.Sprintf("%016x", n), strings.Repeat("x", size.bytes))
				}
				withdraw(leaving, first)
				signalProcess(t, process, syscall.SIGCONT)
				usual.checkHealth() // the router has read what had arrived
				usual.sendCall("safe", "00000000000000b1", "usual")
				if request := worker.nextRequest(); request.body != "usual" {
					t.Errorf("the worker received the withdrawn call %s", request.id)
				}
			})
		}
	}
}

// Guards against attempts that reach a worker long after their clients have gone: a worker takes no bytes for a while, and
// calls are withdrawn that have been written, or partly so, by then.
func TestWithdrawnCallsDoNotReachAWorkerThatReadsLater(t *testing.T) {
	worker := startDeafWorker(t)
	h := startHarness(t, deploymentSettings, listedWorker{name: "s-1", addr: worker.addr})
	leaving := h.connect()
	offset := h.log.size()
	first := leaving.lastSequence + 1
	for n := range 16 {
		leaving.sendCall("safe", fmt.Sprintf("%016x", n), strings.Repeat("x", 16000))
	}
	last := leaving.lastSequence
	leaving.checkHealth() // the calls have been sent as far as the worker takes them
	for sequence := first; sequence <= last; sequence++ {
		leaving.sendInterrupt(sequence)
	}
	const closed = `error="worker has not taken the bytes of an attempt that was withdrawn"`
	h.log.waitFor(t, offset, closed)
	leaving.checkHealth() // the router has closed all connections that it closes now
	worker.startReading()
	worker.waitForEnds(strings.Count(h.log.since(offset), closed))
	worker.expectNoRequest()
}
