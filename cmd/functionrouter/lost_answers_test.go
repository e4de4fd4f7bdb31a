package main

import (
	"fmt"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Checks that a client that waits for its answer gets it while other clients end their connections in the ways that
// misbehaviors lists.
func TestCallsAnsweredDespiteMisbehavingClients(t *testing.T) {
	const loadDuration = 1500 * time.Millisecond
	for _, test := range []struct {
		name         string
		misbehaviors []misbehavior
	}{
		{"reset", misbehaviorsNamed(t, "reset")},
		{"partial", misbehaviorsNamed(t, "partial")},
		{"garbage", misbehaviorsNamed(t, "garbage")},
		{"half-close", misbehaviorsNamed(t, "half-close")},
		{"mixed", misbehaviors},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, _ := startPinnedRouter(t, func(text string) string { return text })
			clients := &clientLoad{t: t, address: h.listen, wait: 3 * time.Second, callsPerConnection: 10}
			clients.start(24, 1)
			misbehaving := startMisbehavingClients(t, h.listen, 16, 1, test.misbehaviors...)
			time.Sleep(loadDuration)
			lost := clients.stop()
			misbehaving.stop()
			reportLost(t, lost)
			t.Logf("%d calls answered, %d served", clients.answered.Load(), clients.served.Load())
			if clients.served.Load() == 0 {
				t.Error("no call was served")
			}
		})
	}
}

// Checks that the router answers each call until the platform may kill the process. After SIGTERM, clients may send
// calls on open connections until then; the earliest kill comes at the longest deadline of the deployment plus 0.7 s
// after SIGTERM.
func TestCallsAnsweredUntilKill(t *testing.T) {
	for _, deadline := range []time.Duration{300 * time.Millisecond, 3 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			h, process := startPinnedRouter(t, func(text string) string { return withDeadline(text, deadline) })
			clients := &clientLoad{t: t, address: h.listen, wait: deadline}
			clients.start(24, 1)
			time.Sleep(200 * time.Millisecond)
			for _, s := range []os.Signal{unix.SIGTERM, unix.SIGHUP, unix.SIGTERM, unix.SIGINT, unix.SIGUSR1} {
				signalProcess(t, process, s)
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(deadline + 700*time.Millisecond)
			reportLost(t, clients.stop())
			expectExit(t, process) // the router ends because its clients have closed their connections
		})
	}
}

// Checks that the router answers a call before the earliest kill if a worker hangs and the client's timeout is longer
// than the time until the kill.
func TestHangingCallAnsweredBeforeKill(t *testing.T) {
	worker := startFakeWorker(t) // answers nothing
	h, process := startPinnedProcess(t, func(text string) string { return withDeadline(text, 300*time.Millisecond) },
		listedWorker{name: "s-1", addr: worker.addr})
	clientBefore := h.connect()
	clientAfter := h.connect()
	clientBefore.sendCall("unsafe", "00000000000000a1", "before SIGTERM")
	worker.nextRequest()
	start := time.Now()
	signalProcess(t, process, unix.SIGTERM)
	for clientAfter.checkHealth() { // until the router has handled the signal
	}
	clientAfter.sendCall("safe", "00000000000000a2", "after SIGTERM")
	clientBefore.expectStatus("failed")
	if status, _ := clientAfter.response(); status == "served" {
		t.Error("the call after SIGTERM was served although its worker hangs")
	}
	if took := time.Since(start); took >= time.Second { // the deadline of 0.3 s and 0.7 s
		t.Errorf("the calls were answered %v after SIGTERM, want less than %v", took, time.Second)
	}
	clientBefore.close()
	clientAfter.close()
	expectExit(t, process)
}

// Checks that each call gets one answer in time, with its own body if it was served, while the connections to workers
// have the faults of a faultProxy and the configuration is reloaded. A call that must not run twice must not be retried
// if it may have run.
func TestCallsAnsweredDespiteFaultyWorkers(t *testing.T) {
	const loadDuration = time.Second
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			counts := &attemptCounts{byBody: map[string]int{}}
			h, process := startWithFaultyWorkers(t, seed, counts, func(text string) string { return text })
			clients := &clientLoad{
				t: t, address: h.listen, wait: 800 * time.Millisecond, callsPerConnection: 20,
				classes: []string{"safe", "unsafe"},
			}
			clients.start(16, seed)
			misbehaving := startMisbehavingClients(t, h.listen, 4, seed, misbehaviors...)
			time.Sleep(loadDuration / 2)
			signalProcess(t, process, unix.SIGHUP)
			time.Sleep(loadDuration / 2)
			lost := clients.stop()
			misbehaving.stop()
			reportLost(t, lost)
			counts.report(t, deploymentMaxAttempts)
			t.Logf("%d calls answered, %d served", clients.answered.Load(), clients.served.Load())
			if clients.served.Load() == 0 {
				t.Error("no call was served")
			}
		})
	}
}

// Checks that each call is answered before the earliest kill, if SIGTERM arrives while workers are faulty and other
// clients misbehave. After SIGTERM, the clients send calls on their open connections until the kill.
func TestCallsAnsweredUntilKillDespiteFaults(t *testing.T) {
	const deadline = 300 * time.Millisecond
	const untilKill = time.Second
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			counts := &attemptCounts{byBody: map[string]int{}}
			h, process := startWithFaultyWorkers(t, seed, counts, func(text string) string {
				return withDeadline(text, deadline)
			})
			clients := &clientLoad{t: t, address: h.listen, wait: deadline, classes: []string{"safe", "unsafe"}}
			clients.start(16, seed)
			misbehaving := startMisbehavingClients(t, h.listen, 4, seed, misbehaviors...)
			time.Sleep(200 * time.Millisecond)
			signalProcess(t, process, unix.SIGTERM)
			time.Sleep(untilKill)
			misbehaving.stop()
			reportLost(t, clients.stop())
			counts.report(t, deploymentMaxAttempts)
			expectExit(t, process)
		})
	}
}

// Checks that the time in which the process is paused counts towards the client's timeout. A call arrives during the
// pause and its worker hangs; the answer must arrive before the client's timeout.
func TestCallDuringPauseAnsweredInTime(t *testing.T) {
	const wait = time.Second
	const paused = 600 * time.Millisecond
	worker := startFakeWorker(t) // answers nothing
	h, _ := newHarness(t, newFakeDirectory(t), testSockets, deploymentSettings, listedWorker{name: "s-1", addr: worker.addr})
	process := h.startProcess(testSockets)
	c := h.connect()
	c.checkHealth()
	pause(t, process)
	sent := time.Now()
	c.sendBytes(c.callFrame("safe", "00000000000000a1", "one", wait))
	time.Sleep(paused) // the length of the pause is part of the test
	signalProcess(t, process, unix.SIGCONT)
	c.response()
	if took := time.Since(sent); took > wait {
		t.Errorf("answered after %v, want at most %v", took, wait)
	}
}
