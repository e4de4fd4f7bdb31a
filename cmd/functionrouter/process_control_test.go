package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// threadsOf returns the thread IDs of the process.
func threadsOf(pid int) ([]int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return nil, err
	}
	var threads []int
	for _, entry := range entries {
		id, err := strconv.Atoi(entry.Name())
		if err != nil {
			return nil, err
		}
		threads = append(threads, id)
	}
	return threads, nil
}

// setAffinityOfAllThreads sets the CPU affinity of each existing thread of the process. New threads inherit it.
func setAffinityOfAllThreads(pid int, cpus *unix.CPUSet) error {
	threads, err := threadsOf(pid)
	if err != nil {
		return err
	}
	for _, id := range threads {
		if err := unix.SchedSetaffinity(id, cpus); err != nil && !errors.Is(err, unix.ESRCH) {
			return err
		}
	}
	return nil
}

// pause stops the process until SIGCONT, and returns once all its threads have stopped.
func pause(t *testing.T, process *os.Process) {
	t.Helper()
	signalProcess(t, process, unix.SIGSTOP)
	for stopped := false; !stopped; {
		threads, err := threadsOf(process.Pid)
		if err != nil {
			t.Fatal(err)
		}
		stopped = true
		for _, id := range threads {
			stopped = stopped && isStopped(process.Pid, id)
		}
	}
}

// isStopped reports whether a thread is in the state T (proc(5), pid/stat).
func isStopped(pid, thread int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%d/stat", pid, thread))
	if err != nil {
		return false
	}
	_, state, found := strings.Cut(string(text), ") ") // after the name, which may contain any characters
	return found && strings.HasPrefix(state, "T")
}

// expectExit waits until the process ends, and checks that it ends without a signal or an error.
func expectExit(t *testing.T, process *os.Process) {
	t.Helper()
	state, err := process.Wait()
	if err != nil || !state.Success() {
		t.Errorf("the process ended with state %v and error %v, want success", state, err)
	}
}

// signalProcess sends a signal to the process.
func signalProcess(t *testing.T, process *os.Process, s os.Signal) {
	t.Helper()
	if err := process.Signal(s); err != nil {
		t.Fatal(err)
	}
}
