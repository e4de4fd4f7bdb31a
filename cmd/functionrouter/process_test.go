package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// Checks that idle clients can't use up all file descriptors. While the directory is down, idle clients take all
// descriptors available to clients, and more clients connect. The reserved descriptors must suffice to query the
// directory once it is back, to dial the worker that it lists, and to accept a request.
func TestIdleClientsLeaveDescriptorsFree(t *testing.T) {
	const sockets = 128
	directory := newFakeDirectory(t)
	addr := directory.addr()
	directory.close() // each query then needs a new socket, because the port refuses
	stoppedWorker := startFakeWorker(t)
	stoppedWorker.stop()
	worker := startFakeWorker(t)
	h, _ := newHarness(t, directory, sockets, "", listedWorker{name: "s-1", addr: stoppedWorker.addr})
	process := h.startProcess(sockets)
	for range 3 * sockets {
		h.connect()
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.Pid))
	if err != nil || len(files) < sockets/3 {
		t.Fatalf("the process has only %d open descriptors, want at least %d (error %v)", len(files), sockets/3, err)
	}
	h.directory = newFakeDirectoryAt(t, addr)
	h.directory.answer(h.directory.nextQuery(), 2, listedWorker{name: "s-2", addr: worker.addr})
	worker.serveAll()
	for status := ""; status != "served"; { // the router refuses requests until it has read the list
		c := h.connect()
		c.sendCall("safe", "00000000000000a1", "one")
		status, _ = c.response()
	}
}

// Checks the router when it runs out of file descriptors, because the process's limit is lower than the configured one,
// so that accepts, dials and queries fail. The router must still answer the requests that it has, and serve requests
// again once descriptors are free.
func TestDescriptorExhaustion(t *testing.T) {
	const configured = 1024
	const available = 48
	worker := startFakeWorker(t)
	h, _ := newHarness(t, newFakeDirectory(t), configured, "", listedWorker{name: "s-1", addr: worker.addr})
	h.startProcess(available)
	c := h.connect()
	c.checkHealth()
	var idle []*testClient
	closed := make(chan struct{}, 1000)
	for len(closed) == 0 { // until the router closes one at once, because it has no descriptor for it
		idleClient := h.connect()
		idle = append(idle, idleClient)
		go func() {
			_, _ = idleClient.Read(make([]byte, 1)) // returns when the connection has ended, with any error
			closed <- struct{}{}
		}()
	}
	c.sendCall("safe", "00000000000000a1", "one") // the router has no descriptor for the dial
	c.expectStatus("refused")
	for _, i := range idle {
		i.close()
	}
	worker.serveAll()
	for status, n := "", 0; status != "served"; n++ {
		c.sendCall("safe", fmt.Sprintf("%016x", 0xb0+n), "two")
		status, _ = c.response()
	}
}

// Checks that an invalid configuration or an address that is already in use ends the program with a plain error
// message.
func TestStartupErrors(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := taken.Close(); err != nil {
			t.Error(err)
		}
	})
	validText := configJSON(t, taken.Addr().String(), "127.0.0.1:9", 256, "")
	for _, test := range []struct {
		name string
		text string
	}{
		{"truncated file", validText[:len(validText)/2]},
		{"no classes", strings.Replace(validText, `"classes"`, `"klasses"`, 1)},
		{"negative deadline", strings.Replace(validText, `"deadlineMs":6000`, `"deadlineMs":-1`, 1)},
		{"address in use", validText},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			output, err := routerCommand(path, 256).CombinedOutput()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || exit.ExitCode() <= 0 {
				t.Errorf("the program ended with %v, want an exit code above 0", err)
			}
			if !strings.Contains(string(output), "functionrouter: ") || strings.Contains(string(output), "goroutine") {
				t.Errorf("the program wrote %s, want a plain error message", output)
			}
		})
	}
}

// Checks a restart after a kill. The first process is killed after it has accepted a connection and while a request is
// in flight; a second process starts with the same initial list. The connections to the first process must end, and the
// second process must apply the directory's list.
func TestRestartAfterKill(t *testing.T) {
	first := startFakeWorker(t)
	second := startFakeWorker(t)
	h, _ := newHarness(t, newFakeDirectory(t), 256, "", listedWorker{name: "s-1", addr: first.addr})
	process := h.startProcess(256)
	c := h.connect()
	c.sendCall("unsafe", "00000000000000a1", "one")
	inFlight := first.nextRequest()
	idleClient := h.connect()
	if err := process.Kill(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []*testClient{c, idleClient} {
		if _, _, err := c.tryResponse(); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the connection to the killed process returned %v, want EOF or ECONNRESET", err)
		}
	}
	first.stop()
	h.startProcess(256)
	inFlight.respond("HIT", "to the killed process")
	second.serveAll()
	for status := ""; status != "served"; { // the first queries are from the killed process
		h.directory.answer(h.directory.nextQuery(), 5, listedWorker{name: "s-2", addr: second.addr})
		newClient := h.connect()
		newClient.sendCall("unsafe", "00000000000000a2", "two")
		status, _ = newClient.response()
	}
}

// Checks that the router still answers calls if the reader of its log stops reading or closes the pipe.
func TestLogReaderStallsOrCloses(t *testing.T) {
	for _, test := range []struct {
		name        string
		stopReading func(t *testing.T, reader *os.File)
	}{
		{"stalls", func(*testing.T, *os.File) {}},
		{"closes", func(t *testing.T, reader *os.File) {
			t.Helper()
			if err := reader.Close(); err != nil {
				t.Fatal(err)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			worker := startEchoWorker(t, nil)
			h, _ := newHarness(t, newFakeDirectory(t), testSockets, deploymentSettings, listedWorker{name: "s-1", addr: worker.addr})
			reader, writer, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = reader.Close() }) // the test may have closed it
			process := h.startProcessWithLog(testSockets, writer)
			if err := writer.Close(); err != nil {
				t.Fatal(err)
			}
			test.stopReading(t, reader)
			c := h.connect()
			const pipeBytes = 64 << 10 // capacity of a pipe (pipe(7)); one log of the counters is longer than 1 KiB
			for i := range 2 * pipeBytes / 1024 {
				signalProcess(t, process, syscall.SIGUSR1)
				c.sendCall("safe", fmt.Sprintf("%016x", 0xa1+i), "one")
				c.response()
			}
		})
	}
}
