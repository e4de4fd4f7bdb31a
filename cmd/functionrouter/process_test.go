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

// Idle clients take all the descriptors that clients may have, and more connect, while the directory is down. Those in
// reserve are enough to query the directory once it is there, to dial the worker that it lists, and to take a request.
func TestIdleClientsLeaveDescriptorsFree(t *testing.T) {
	const sockets = 128
	directory := newFakeDirectory(t)
	addr := directory.addr()
	directory.close() // each query takes a new socket, since the port refuses
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
		t.Fatalf("the clients fill %d descriptors only, %v", len(files), err)
	}
	h.directory = newFakeDirectoryAt(t, addr)
	h.directory.answer(h.directory.nextQuery(), 2, listedWorker{name: "s-2", addr: worker.addr})
	worker.serveAll()
	for status := ""; status != "served"; { // refused until the list has been read
		c := h.connect()
		c.sendCall("safe", "00000000000000a1", "one")
		status, _ = c.response()
	}
}

// A process that may open fewer descriptors than its configuration says runs out of them: accepts, dials and queries
// fail. It still answers the requests that it has, and serves again once there are descriptors.
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
	for len(closed) == 0 { // until one is closed at once, since there was no descriptor for it
		idleClient := h.connect()
		idle = append(idle, idleClient)
		go func() {
			_, _ = idleClient.Read(make([]byte, 1)) // returns when the connection has ended, whatever the error
			closed <- struct{}{}
		}()
	}
	c.sendCall("safe", "00000000000000a1", "one") // there is no descriptor for its dial
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

// A configuration that can't be used, and an address that is taken, end the program with a plain message.
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
		{"half a file", validText[:len(validText)/2]},
		{"no classes", strings.Replace(validText, `"classes"`, `"klasses"`, 1)},
		{"impossible deadline", strings.Replace(validText, `"deadlineMs":6000`, `"deadlineMs":-1`, 1)},
		{"address taken", validText},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			output, err := routerCommand(path, 256).CombinedOutput()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || exit.ExitCode() <= 0 {
				t.Errorf("ended with %v", err)
			}
			if !strings.Contains(string(output), "functionrouter: ") || strings.Contains(string(output), "goroutine") {
				t.Errorf("wrote %s", output)
			}
		})
	}
}

// A process is killed just after it accepted a connection and with a request in flight, and another is started with its
// old list: the clients of the first see their connections end, and the second takes the directory's list.
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
			t.Errorf("a connection to a process that was killed: %v", err)
		}
	}
	first.stop()
	h.startProcess(256)
	inFlight.respond("HIT", "to nobody")
	second.serveAll()
	for status := ""; status != "served"; { // the first queries are the old process's
		h.directory.answer(h.directory.nextQuery(), 5, listedWorker{name: "s-2", addr: second.addr})
		newClient := h.connect()
		newClient.sendCall("unsafe", "00000000000000a2", "two")
		status, _ = newClient.response()
	}
}

// The collector of the router's log stops reading it, or ends: calls are still answered.
func TestLogReaderStallsOrCloses(t *testing.T) {
	for _, test := range []struct {
		name        string
		stopReading func(t *testing.T, reader *os.File)
	}{
		{"stalls", func(*testing.T, *os.File) {}},
		{"ends", func(t *testing.T, reader *os.File) {
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
			const pipeBytes = 64 << 10 // what a pipe holds (pipe(7)); a report of the counters takes over 1 KiB
			for i := range 2 * pipeBytes / 1024 {
				signalProcess(t, process, syscall.SIGUSR1)
				c.sendCall("safe", fmt.Sprintf("%016x", 0xa1+i), "one")
				c.response()
			}
		})
	}
}
