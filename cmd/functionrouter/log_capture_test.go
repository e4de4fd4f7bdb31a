package main

import (
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// logCapture stores the router's log, so that a test can wait for a line.
type logCapture struct {
	mu      sync.Mutex
	text    strings.Builder // a test may read it without mu if only the test's goroutine logs
	written chan struct{}   // closed when the next line is written
}

func newLogCapture() *logCapture { return &logCapture{written: make(chan struct{})} }

// install makes l the default log until the end of the test.
func (l *logCapture) install(t *testing.T) {
	t.Helper()
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(l, nil)))
	t.Cleanup(func() { slog.SetDefault(previous) })
}

// Write appends a line to the log.
func (l *logCapture) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.written)
	l.written = make(chan struct{})
	return l.text.Write(line)
}

// size returns the present length of the log, for waitFor.
func (l *logCapture) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Len()
}

// since returns the log after the position offset.
func (l *logCapture) since(offset int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()[offset:]
}

// waitFor waits until the log contains text after the position offset.
func (l *logCapture) waitFor(t *testing.T, offset int, text string) {
	t.Helper()
	for timeout := time.After(testTimeout); ; {
		l.mu.Lock()
		found := strings.Contains(l.text.String()[offset:], text)
		written := l.written
		l.mu.Unlock()
		if found {
			return
		}
		select {
		case <-written:
		case <-timeout:
			t.Fatalf("the log does not contain %q after %v", text, testTimeout)
		}
	}
}
