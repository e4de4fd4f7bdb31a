package main

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"testing"
)

// descriptorsVariable makes the test program run the router instead of the tests. Its value is the limit on file
// descriptors.
const descriptorsVariable = "FUNCTIONROUTER_TEST_AS_ROUTER"

// TestMain runs the tests, or the router if descriptorsVariable is set.
func TestMain(m *testing.M) {
	if count := os.Getenv(descriptorsVariable); count != "" {
		if err := limitDescriptors(count); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		main()
		return
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil))) // as main does
	os.Exit(m.Run())
}

// limitDescriptors sets the process's limit on file descriptors.
func limitDescriptors(count string) error {
	n, err := strconv.ParseUint(count, 10, 64)
	if err != nil {
		return err
	}
	return syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
}

// routerCommand returns the command that runs the router as a separate process.
func routerCommand(configPath string, descriptors int) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), configVariable+"="+configPath, fmt.Sprintf("%s=%d", descriptorsVariable, descriptors))
	return cmd
}

// startProcess starts the router as a separate process that reads the harness's configuration file, and returns once
// the process has answered a health check. The process is killed at the end of the test. The harness's log and signals
// have no effect on it. descriptors limits its file descriptors independently of the configuration.
func (h *harness) startProcess(descriptors int) *os.Process {
	h.t.Helper()
	var log bytes.Buffer
	// Cleanups run in reverse order: when this one reads the log, the process has ended and written its log.
	h.t.Cleanup(func() {
		if h.t.Failed() {
			h.t.Logf("the router's log:\n%s", log.String())
		}
	})
	return h.startProcessWithLog(descriptors, &log)
}

// startProcessWithLog starts a process like startProcess, but writes its log to log.
func (h *harness) startProcessWithLog(descriptors int, log io.Writer) *os.Process {
	h.t.Helper()
	cmd := routerCommand(h.configPath, descriptors)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() {
		_ = cmd.Process.Kill() // the test may have killed it already
		_ = cmd.Wait()         // returns an error because the process was killed
	})
	c := h.connect()
	c.checkHealth()
	c.close()
	return cmd.Process
}
