package main

import (
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// logCapture keeps the router's log, so that a test can wait for a line.
type logCapture struct {
	mu      sync.Mutex
	text    strings.Builder // a test may read it without mu if only its own goroutine logs
	written chan struct{}   // closed at the next line
}

func newLogCapture() *logCapture { return &logCapture{written: make(chan struct{})} }

// install makes l the log for the rest of the test.
func (l *logCapture) install(t *testing.T) {
	t.Helper()
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(l, nil)))
	t.Cleanup(func() { slog.SetDefault(previous) })
}

// Write takes a line of the log.
func (l *logCapture) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.written)
	l.written = make(chan struct{})
	return l.text.Write(line)
}

// size is the position at which the log ends now.
func (l *logCapture) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Len()
}

// waitFor returns once the log contains text behind the position from.
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
			t.Fatalf("the log lacks %q", text)
		}
	}
}
