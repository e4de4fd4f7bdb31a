package main

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// pinToOneCore gives the process one core, as it has in service. The faults that these tests look for hide on several.
func pinToOneCore(t *testing.T, process *os.Process) {
	t.Helper()
	var allowed unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		t.Fatal(err)
	}
	for cpu := range len(allowed) * 64 {
		if !allowed.IsSet(cpu) {
			continue
		}
		var one unix.CPUSet
		one.Set(cpu)
		if err := setAffinityOfAllThreads(process.Pid, &one); err != nil {
			t.Fatal(err)
		}
		return
	}
}

// serviceSettings are further settings as a deployment has them.
const serviceSettings = `"granularityMs":4,"limits":{"cancel":true,"dialTimeoutMs":250,"keepaliveMs":30000,"maxAttempts":3,
 "maxOpen":20000,"maxRetryAfterMs":1000,"mayProbe":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":32},
 "peersTotal":1,"rules":{"coldFrom":0.18,"coldMs":17000,"drainGraceMs":1000,"fallMs":1000,"fallMultiple":2},`

// maxAttemptsInService is the limit on attempts in serviceSettings.
const maxAttemptsInService = 3

// withDeadline returns the text of a configuration with another deadline for all classes.
func withDeadline(text string, deadline time.Duration) string {
	text = strings.ReplaceAll(text, `"goalTimeMs":3000`, `"goalTimeMs":200`)
	return strings.ReplaceAll(text, `"deadlineMs":6000`, fmt.Sprintf(`"deadlineMs":%d`, deadline.Milliseconds()))
}

// startPinnedRouter starts the router as a process of its own on one core, with a worker that serves all requests.
func startPinnedRouter(t *testing.T, adaptConfig func(string) string) (h *harness, process *os.Process) {
	t.Helper()
	return startPinnedProcess(t, adaptConfig, listedWorker{name: "s-1", addr: startEchoWorker(t, nil).addr})
}

// startPinnedProcess starts the router as a process of its own on one core. adaptConfig changes the text of its
// configuration.
func startPinnedProcess(
	t *testing.T, adaptConfig func(string) string, listed ...listedWorker,
) (h *harness, process *os.Process) {
	t.Helper()
	h, _ = newHarness(t, newFakeDirectory(t), 1024, serviceSettings, listed...)
	h.configText = adaptConfig(h.configText)
	if err := os.WriteFile(h.configPath, []byte(h.configText), 0o600); err != nil {
		t.Fatal(err)
	}
	process = h.startProcess(1024)
	pinToOneCore(t, process)
	return h, process
}

// reportLost fails the test for each call that was lost.
func reportLost(t *testing.T, lost []lostCall) {
	t.Helper()
	for _, l := range lost {
		t.Errorf("lost at %v", l)
	}
}

// expectExit waits until the process has ended, which must be by itself and without an error.
func expectExit(t *testing.T, process *os.Process) {
	t.Helper()
	state, err := process.Wait()
	if err != nil || !state.Success() {
		t.Errorf("the process ended with %v, %v", state, err)
	}
}

// Whatever other clients do to their connections, one that waits for its answer gets it.
func TestCallsAreAnsweredBesideUnfriendlyPeers(t *testing.T) {
	const playFor = 1500 * time.Millisecond
	kinds := unfriendlyPeers
	for _, test := range []struct {
		name  string
		kinds []unfriendlyPeer
	}{
		{"reset", kinds[:1]}, {"partial", kinds[1:2]}, {"garbage", kinds[2:3]}, {"half-close", kinds[3:4]}, {"mixed", kinds},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, _ := startPinnedRouter(t, func(text string) string { return text })
			clients := &clientLoad{t: t, address: h.listen, wait: 3 * time.Second, callsPerConnection: 10}
			clients.start(24, 1)
			peers := startPeers(t, h.listen, 16, 1, test.kinds...)
			time.Sleep(playFor)
			lost := clients.stop()
			peers.stop()
			reportLost(t, lost)
			t.Logf("%d calls answered, %d served", clients.answered.Load(), clients.served.Load())
			if clients.served.Load() == 0 {
				t.Error("no call was served")
			}
		})
	}
}

// After SIGTERM clients may go on sending on their open connections until the process is killed, at the earliest after
// the longest deadline of the deployment and 0.7 s. Each call gets an answer.
func TestCallsAreAnsweredUntilTheKill(t *testing.T) {
	for _, deadline := range []time.Duration{300 * time.Millisecond, 3 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			h, process := startPinnedRouter(t, func(text string) string { return withDeadline(text, deadline) })
			clients := &clientLoad{t: t, address: h.listen, wait: deadline}
			clients.start(24, 1)
			time.Sleep(200 * time.Millisecond)
			for _, s := range []os.Signal{unix.SIGTERM, unix.SIGHUP, unix.SIGTERM, unix.SIGINT, unix.SIGUSR1} {
				if err := process.Signal(s); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(deadline + 700*time.Millisecond)
			reportLost(t, clients.stop())
			expectExit(t, process) // since its clients have closed
		})
	}
}

// A worker hangs, and a client waits longer than the platform lets the process run after SIGTERM: the call is answered
// before the earliest kill.
func TestHangingCallIsAnsweredBeforeTheKill(t *testing.T) {
	worker := startFakeWorker(t) // answers nothing
	h, process := startPinnedProcess(t, func(text string) string { return withDeadline(text, 300*time.Millisecond) },
		listedWorker{name: "s-1", addr: worker.addr})
	before := h.connect()
	after := h.connect()
	before.sendCall("unsafe", "00000000000000a1", "before SIGTERM")
	worker.nextRequest()
	start := time.Now()
	if err := process.Signal(unix.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for after.checkHealth() { // until the router knows of the signal
	}
	after.sendCall("safe", "00000000000000a2", "after SIGTERM")
	before.expectStatus("failed")
	if status, _ := after.response(); status == "served" {
		t.Error("a worker that hangs served a call")
	}
	if took := time.Since(start); took >= time.Second { // 0.3 s and 0.7 s
		t.Errorf("the calls were answered %v after SIGTERM", took)
	}
	before.close()
	after.close()
	expectExit(t, process)
}

// startBesideFaultyWorkers starts the router as a process of its own on one core, with three workers that are behind a
// faultProxy each. adaptConfig changes the text of its configuration.
func startBesideFaultyWorkers(
	t *testing.T, seed uint64, counts *attemptCounts, adaptConfig func(string) string,
) (h *harness, process *os.Process) {
	t.Helper()
	var listed []listedWorker
	for i := range 3 {
		worker := startEchoWorker(t, counts)
		proxy := startFaultProxy(t, worker.addr, seed*10+uint64(i))
		listed = append(listed, listedWorker{name: fmt.Sprintf("s-%d", i), addr: proxy.addr()})
	}
	return startPinnedProcess(t, adaptConfig, listed...)
}

// Whatever fault the connections to workers have, and while the configuration is reloaded, each call gets one answer in
// time, with its own body if it was served. A call that must not run twice is not retried if it may have run.
func TestCallsAreAnsweredBesideFaultyWorkers(t *testing.T) {
	const playFor = time.Second
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			counts := &attemptCounts{byBody: map[string]int{}}
			h, process := startBesideFaultyWorkers(t, seed, counts, func(text string) string { return text })
			clients := &clientLoad{t: t, address: h.listen, wait: 800 * time.Millisecond, callsPerConnection: 20,
				classes: []string{"safe", "unsafe"}}
			clients.start(16, seed)
			peers := startPeers(t, h.listen, 4, seed, unfriendlyPeers...)
			time.Sleep(playFor / 2)
			if err := process.Signal(unix.SIGHUP); err != nil {
				t.Fatal(err)
			}
			time.Sleep(playFor / 2)
			lost := clients.stop()
			peers.stop()
			reportLost(t, lost)
			counts.report(t, maxAttemptsInService)
			t.Logf("%d calls answered, %d served", clients.answered.Load(), clients.served.Load())
			if clients.served.Load() == 0 {
				t.Error("no call was served")
			}
		})
	}
}

// All at once: workers behind faults, unfriendly peers, and SIGTERM, after which clients go on sending on open connections
// until the earliest kill. Each call is answered before it.
func TestCallsAreAnsweredUntilTheKillBesideFaults(t *testing.T) {
	const deadline = 300 * time.Millisecond
	const untilKill = time.Second
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			counts := &attemptCounts{byBody: map[string]int{}}
			h, process := startBesideFaultyWorkers(t, seed, counts, func(text string) string {
				return withDeadline(text, deadline)
			})
			clients := &clientLoad{t: t, address: h.listen, wait: deadline, classes: []string{"safe", "unsafe"}}
			clients.start(16, seed)
			peers := startPeers(t, h.listen, 4, seed, unfriendlyPeers...)
			time.Sleep(200 * time.Millisecond)
			if err := process.Signal(unix.SIGTERM); err != nil {
				t.Fatal(err)
			}
			time.Sleep(untilKill)
			peers.stop()
			reportLost(t, clients.stop())
			counts.report(t, maxAttemptsInService)
			expectExit(t, process)
		})
	}
}

// A call arrives while the process is paused, and its worker hangs: the pause counts, and the answer comes before the time
// that the client waits is over.
func TestCallDuringAPauseIsAnsweredInTime(t *testing.T) {
	const wait = time.Second
	const paused = 600 * time.Millisecond
	worker := startFakeWorker(t) // answers nothing
	h, _ := newHarness(t, newFakeDirectory(t), 1024, serviceSettings, listedWorker{name: "s-1", addr: worker.addr})
	process := h.startProcess(1024)
	c := h.connect()
	c.checkHealth()
	pause(t, process)
	sent := time.Now()
	c.sendBytes(c.callFrame("safe", "00000000000000a1", "one", wait))
	time.Sleep(paused) // the pause is what is tested
	if err := process.Signal(unix.SIGCONT); err != nil {
		t.Fatal(err)
	}
	c.response()
	if took := time.Since(sent); took > wait {
		t.Errorf("answered after %v of %v", took, wait)
	}
}
