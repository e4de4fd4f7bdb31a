package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// testTimeout limits each wait of a test. No test is expected to reach it.
const testTimeout = 20 * time.Second

// testSockets is the limit on file descriptors in tests that do not need a specific limit.
const testSockets = 1024

// Members of the settings, for the argument extraSettings of startHarness.
const (
	// longDialTimeout lets a dial to a worker with a full backlog last until the worker accepts: the kernel repeats the
	// connect after a second.
	longDialTimeout = `"limits":{"dialTimeoutMs":15000},`

	// manyAttempts allows more attempts per request than any test has workers.
	manyAttempts = `"limits":{"maxAttempts":6},`
)

// harness is a router on real sockets, with a directory, workers and clients that the test controls.
type harness struct {
	t             *testing.T
	configPath    string
	configText    string
	listen        string
	directory     *fakeDirectory
	log           *logCapture
	reloadResults chan error    // one result per SIGHUP; loadConfig blocks while the previous result is unread
	exited        chan struct{} // closed when serve has returned
	clients       []*testClient // all clients that have connected
	exitError     error         // result of serve; set before exited is closed
}

// listedWorker is a worker in the directory's list.
type listedWorker struct {
	name          string
	addr          string
	draining      bool
	startedUnixMs int64 // 0 means long ago
}

// startHarness runs a router whose configuration lists the workers in initial. Its settings have two classes: safe
// (idempotent) and unsafe (not idempotent). extraSettings holds additional JSON members, which end with a comma.
func startHarness(t *testing.T, extraSettings string, initial ...listedWorker) *harness {
	t.Helper()
	h, cfg := newHarness(t, newFakeDirectory(t), testSockets, extraSettings, initial...)
	ignoreSIGTERM(t)
	h.log.install(t)
	go func() {
		h.exitError = serve(cfg, h.loadConfig)
		close(h.exited)
	}()
	t.Cleanup(h.stop)
	h.connect().checkHealth()
	return h
}

// startHarnessWithTwoWorkers starts a harness with two workers, and allows enough attempts to try both.
func startHarnessWithTwoWorkers(t *testing.T) (h *harness, first, second *fakeWorker) {
	t.Helper()
	first = startFakeWorker(t)
	second = startFakeWorker(t)
	h = startHarness(t, manyAttempts,
		listedWorker{name: "s-1", addr: first.addr}, listedWorker{name: "s-2", addr: second.addr})
	return h, first, second
}

// ignoreSIGTERM prevents a SIGTERM that arrives while the router ends from ending the test process.
func ignoreSIGTERM(t *testing.T) {
	t.Helper()
	ignored := make(chan os.Signal, 1)
	signal.Notify(ignored, syscall.SIGTERM)
	t.Cleanup(func() { signal.Stop(ignored) })
}

// newHarness writes the configuration of a router that listens at a free address. It does not start a router.
func newHarness(
	t *testing.T, directory *fakeDirectory, sockets int, extraSettings string, initial ...listedWorker,
) (*harness, *config) {
	t.Helper()
	h := &harness{
		t:             t,
		configPath:    filepath.Join(t.TempDir(), "config.json"),
		listen:        freeAddress(t),
		directory:     directory,
		log:           newLogCapture(),
		reloadResults: make(chan error, 1),
		exited:        make(chan struct{}),
	}
	h.configText = configJSON(t, h.listen, directory.addr(), sockets, extraSettings, initial...)
	cfg, err := writeAndReadConfig(h.configPath, h.configText)
	if err != nil {
		t.Fatal(err)
	}
	return h, cfg
}

// freeAddress returns a loopback address at which no process listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// configJSON returns the text of a configuration file.
func configJSON(t *testing.T, listen, directory string, sockets int, extraSettings string, initial ...listedWorker) string {
	t.Helper()
	members := []map[string]any{}
	for _, w := range initial {
		phase := "Ready"
		if w.draining {
			phase = "Terminating"
		}
		members = append(members, map[string]any{
			"id": w.name, "host_port": w.addr, "phase": phase, "size": 1, "up_since_ms": w.startedUnixMs,
		})
	}
	known, err := json.Marshal(members)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf(`{"name":"n3","listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
 "names":%q,"known":{"offset":1,"batch":[{"offset":1,"topology":{"complete":true,"members":%s}}]},
 "settings":{%s"classes":[{"name":"safe","deadlineMs":6000,"goalTimeMs":3000,"semantics":"safe","group":"all"},
 {"name":"unsafe","deadlineMs":6000,"goalTimeMs":3000,"semantics":"unsafe","group":"all"}]}}`,
		listen, sockets, directory, known, extraSettings)
}

// loadConfig reads the configuration on SIGHUP, and passes the error to reload.
func (h *harness) loadConfig() (*config, error) {
	cfg, err := readConfig(func(name string) string { return map[string]string{configVariable: h.configPath}[name] })
	h.reloadResults <- err
	return cfg, err
}

// reload makes the router read text as its configuration, and returns the error of reading it. When reload returns, the
// loop may not have applied the configuration yet.
func (h *harness) reload(text string) error {
	h.t.Helper()
	if err := os.WriteFile(h.configPath, []byte(text), 0o600); err != nil {
		h.t.Fatal(err)
	}
	h.signal(syscall.SIGHUP)
	return <-h.reloadResults
}

// signal sends a signal to the router, which runs in this process.
func (h *harness) signal(s syscall.Signal) {
	h.t.Helper()
	if err := syscall.Kill(syscall.Getpid(), s); err != nil {
		h.t.Fatal(err)
	}
}

// beginShutdown sends SIGTERM and waits until the router reports that it is not ready.
func (h *harness) beginShutdown(c *testClient) {
	h.t.Helper()
	h.signal(syscall.SIGTERM)
	for c.checkHealth() {
	}
}

// stop ends the router if it still runs.
func (h *harness) stop() {
	select {
	case <-h.exited:
		return
	default:
	}
	h.signal(syscall.SIGTERM)
	h.waitForExit()
}

// waitForExit closes the connections of all clients, because a router that shuts down waits for them. It then waits
// until the router has ended, and checks that it has ended without an error.
func (h *harness) waitForExit() {
	h.t.Helper()
	select {
	case <-h.exited:
		h.t.Error("the router has ended before its clients closed their connections")
	default:
	}
	for _, c := range h.clients {
		_ = c.Close() // the test may have closed it already
	}
	select {
	case <-h.exited:
		if h.exitError != nil {
			h.t.Errorf("the router has ended with the error %v, want none", h.exitError)
		}
	case <-time.After(testTimeout):
		h.t.Errorf("the router has not ended after %v", testTimeout)
	}
}

// connect returns a new connection to the router. It retries until the router listens.
func (h *harness) connect() *testClient {
	h.t.Helper()
	for deadline := time.Now().Add(testTimeout); ; {
		conn, err := net.Dial("tcp", h.listen)
		if err == nil {
			c := newTestClient(h.t, conn)
			h.clients = append(h.clients, c)
			return c
		}
		select {
		case <-h.exited:
			h.t.Fatalf("the router has ended: %v", h.exitError)
		default:
		}
		if time.Now().After(deadline) {
			h.t.Fatal(err)
		}
	}
}

// updateEndpoints answers a query of the router with list, and returns once the router has applied the list.
func (h *harness) updateEndpoints(serial uint32, list ...listedWorker) {
	h.t.Helper()
	offset := h.log.size()
	h.directory.answer(h.directory.nextQuery(), serial, list...)
	h.log.waitFor(h.t, offset, fmt.Sprintf(`msg="endpoint list applied" endpoints=%d `, len(list)))
	h.connect().checkHealth()
}

// endpointLogged returns the start of the message that the router logs when a list adds or changes the endpoint of
// worker.
func endpointLogged(worker string) string { return `msg="endpoint updated" worker=` + worker + " " }
