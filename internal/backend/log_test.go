package backend

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"
)

// logRecorder is a slog.Handler that records the message and the attributes of each log line.
type logRecorder struct {
	lines []loggedLine
}

type loggedLine struct {
	message    string
	attributes map[string]any
}

// captureLog replaces the default logger until the test ends and returns the recorder of its lines.
func captureLog(t *testing.T) *logRecorder {
	t.Helper()
	before := slog.Default()
	t.Cleanup(func() { slog.SetDefault(before) })
	recorder := &logRecorder{}
	slog.SetDefault(slog.New(recorder))
	return recorder
}

func (l *logRecorder) Enabled(context.Context, slog.Level) bool { return true }
func (l *logRecorder) WithAttrs([]slog.Attr) slog.Handler       { return l }
func (l *logRecorder) WithGroup(string) slog.Handler            { return l }

func (l *logRecorder) Handle(_ context.Context, r slog.Record) error {
	line := loggedLine{r.Message, map[string]any{}}
	r.Attrs(func(a slog.Attr) bool {
		line.attributes[a.Key] = a.Value.Any()
		return true
	})
	l.lines = append(l.lines, line)
	return nil
}

// lastCloseError returns the value of "error" in the last line about a connection that the pool has closed, or nil if
// there is none.
func (l *logRecorder) lastCloseError() error {
	for i := len(l.lines) - 1; i >= 0; i-- {
		if l.lines[i].message == "worker connection closed" {
			err, _ := l.lines[i].attributes["error"].(error)
			return err
		}
	}
	return nil
}

// Guards against writing one log line for each lost connection, and against wrong counts of connections and calls in a
// line.
func TestLostConnectionsAreLoggedOncePerInterval(t *testing.T) {
	logged := captureLog(t)
	log := newLostConnectionLog()
	reset := errors.New("reset")
	log.record(time.Hour, "127.0.0.1:1", 2, nil)
	log.record(time.Hour, "127.0.0.1:2", 3, nil)
	log.record(time.Hour+lostConnectionLogInterval, "127.0.0.1:3", 4, nil)
	log.record(time.Hour+lostConnectionLogInterval+1, "127.0.0.1:4", 5, reset)
	if len(logged.lines) != 2 {
		t.Fatalf("%d lines, want 2: %v", len(logged.lines), logged.lines)
	}
	for i, want := range []map[string]any{
		{"connections": int64(1), "calls": int64(2), "last_address": "127.0.0.1:1", "error": nil},
		{"connections": int64(3), "calls": int64(12), "last_address": "127.0.0.1:4", "error": reset},
	} {
		line := logged.lines[i]
		for key, value := range want {
			if got := line.attributes[key]; got != value {
				t.Errorf("line %d: %s is %v, want %v", i, key, got, value)
			}
		}
		if line.message != "worker connections lost" {
			t.Errorf("line %d: got message %q, want %q", i, line.message, "worker connections lost")
		}
	}
}
