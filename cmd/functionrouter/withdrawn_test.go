package main

import (
	"fmt"
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
