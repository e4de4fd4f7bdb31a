package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// setAffinityOfAllThreads sets the processors of each thread that the process has. Further threads inherit them.
func setAffinityOfAllThreads(pid int, cpus *unix.CPUSet) error {
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return err
	}
	for _, thread := range threads {
		id, err := strconv.Atoi(thread.Name())
		if err != nil {
			return err
		}
		if err := unix.SchedSetaffinity(id, cpus); err != nil && !errors.Is(err, unix.ESRCH) {
			return err
		}
	}
	return nil
}
