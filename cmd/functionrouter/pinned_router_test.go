package main

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// deploymentSettings are additional settings like those of a deployment.
const deploymentSettings = `"granularityMs":4,"limits":{"cancel":true,"dialTimeoutMs":250,"keepaliveMs":30000,"maxAttempts":3,
 "maxOpen":20000,"maxRetryAfterMs":1000,"mayProbe":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":32},
 "peersTotal":1,"rules":{"coldFrom":0.18,"coldMs":17000,"drainGraceMs":1000,"fallMs":1000,"fallMultiple":2},`

// deploymentMaxAttempts is the limit on attempts in deploymentSettings.
const deploymentMaxAttempts = 3

// withDeadline changes the text of a configuration from configJSON: all classes get the given deadline and an objective
// of 200 ms.
func withDeadline(text string, deadline time.Duration) string {
	text = strings.ReplaceAll(text, `"goalTimeMs":3000`, `"goalTimeMs":200`)
	return strings.ReplaceAll(text, `"deadlineMs":6000`, fmt.Sprintf(`"deadlineMs":%d`, deadline.Milliseconds()))
}

// startPinnedRouter starts the router like startPinnedProcess, with one worker that serves all requests.
func startPinnedRouter(t *testing.T, adaptConfig func(string) string) (h *harness, process *os.Process) {
	t.Helper()
	return startPinnedProcess(t, adaptConfig, listedWorker{name: "s-1", addr: startEchoWorker(t, nil).addr})
}

// startPinnedProcess starts the router as a separate process on one core. adaptConfig changes the text of its
// configuration.
func startPinnedProcess(
	t *testing.T, adaptConfig func(string) string, listed ...listedWorker,
) (h *harness, process *os.Process) {
	t.Helper()
	h, _ = newHarness(t, newFakeDirectory(t), testSockets, deploymentSettings, listed...)
	h.configText = adaptConfig(h.configText)
	if err := os.WriteFile(h.configPath, []byte(h.configText), 0o600); err != nil {
		t.Fatal(err)
	}
	process = h.startProcess(testSockets)
	pinToOneCore(t, process)
	return h, process
}

// pinToOneCore restricts the process to one core, as in a deployment. The faults that these tests detect rarely occur
// on several cores.
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

// startWithFaultyWorkers starts the router as a separate process on one core, with three workers behind one faultProxy
// each. adaptConfig changes the text of its configuration.
func startWithFaultyWorkers(
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
