package main

import "sync"

var (
	cleanupMu sync.Mutex
	cleanups  []func()
)

// atExit registers what has to be done however the case ends.
func atExit(f func()) {
	cleanupMu.Lock()
	defer cleanupMu.Unlock()
	cleanups = append(cleanups, f)
}

// cleanUp does what was registered, once.
func cleanUp() {
	cleanupMu.Lock()
	defer cleanupMu.Unlock()
	for _, f := range cleanups {
		f()
	}
	cleanups = nil
}
