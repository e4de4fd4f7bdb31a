package logging

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// stallingWriter blocks in Write until it is released.
type stallingWriter struct {
	released chan struct{}
	text     bytes.Buffer
}

func (w *stallingWriter) Write(b []byte) (int, error) {
	<-w.released
	return w.text.Write(b)
}

// A stalled destination does not block Write. The lines that do not fit into the buffer are dropped, and the log
// reports that.
func TestWriterDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		destination := &stallingWriter{released: make(chan struct{})}
		w := NewWriter(destination)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		const lines = 3 * maxBufferedBytes / 1024
		start := time.Now()
		for range lines {
			if n, err := w.Write(line); n != len(line) || err != nil {
				t.Fatalf("Write returned %d, %v; want %d, nil", n, err, len(line))
			}
		}
		if took := time.Since(start); took > 0 {
			t.Errorf("the calls of Write blocked for %v", took)
		}
		close(destination.released)
		w.Close(time.Minute)
		written := strings.Count(destination.text.String(), string(line))
		if written < maxBufferedBytes/1024 || written == lines {
			t.Errorf("%d of %d lines were written, want at least %d and not all",
				written, lines, maxBufferedBytes/1024)
		}
		if !strings.Contains(destination.text.String(), `msg="log lines dropped"`) {
			t.Error("the log does not say that lines were dropped")
		}
	})
}

// Close returns after its timeout if the destination has stalled.
func TestWriterCloseTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		destination := &stallingWriter{released: make(chan struct{})}
		w := NewWriter(destination)
		_, _ = w.Write([]byte("line\n")) // Write never fails
		start := time.Now()
		w.Close(2 * time.Second)
		if took := time.Since(start); took != 2*time.Second {
			t.Errorf("Close took %v, want its timeout of 2s", took)
		}
		close(destination.released)
		<-w.done
	})
}

// failingWriter counts calls of Write and fails each of them.
type failingWriter struct{ writes int }

func (w *failingWriter) Write([]byte) (int, error) {
	w.writes++
	return 0, errors.New("broken pipe")
}

// After an error of the destination, only the lines of that write are lost; later lines are still written.
func TestWriterContinuesAfterWriteErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		destination := &failingWriter{}
		w := NewWriter(destination)
		for range 3 {
			_, _ = w.Write([]byte("line\n")) // Write never fails
			synctest.Wait()
			time.Sleep(writePeriod)
		}
		w.Close(time.Second)
		if destination.writes != 3 {
			t.Errorf("the destination received %d writes, want 3", destination.writes)
		}
	})
}
