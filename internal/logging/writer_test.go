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

// A destination that stalls does not block Write. The lines that do not fit into the buffer are counted in the log.
func TestWriterDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		destination := &stallingWriter{released: make(chan struct{})}
		w := NewWriter(destination)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		const lines = 3 * maxBufferedBytes / 1024
		start := time.Now()
		for range lines {
			if n, err := w.Write(line); n != len(line) || err != nil {
				t.Fatalf("wrote %d, %v", n, err)
			}
		}
		if took := time.Since(start); took > 0 {
			t.Errorf("the writes blocked for %v", took)
		}
		close(destination.released)
		w.Close(time.Minute)
		written := strings.Count(destination.text.String(), string(line))
		if written < maxBufferedBytes/1024 || written == lines {
			t.Errorf("%d lines of %d were written", written, lines)
		}
		if !strings.Contains(destination.text.String(), `msg="log lines dropped"`) {
			t.Error("the log does not say that lines were dropped")
		}
	})
}

// Close returns after its timeout although the destination has stalled.
func TestWriterCloseTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		destination := &stallingWriter{released: make(chan struct{})}
		w := NewWriter(destination)
		_, _ = w.Write([]byte("line\n")) // it never fails
		start := time.Now()
		w.Close(2 * time.Second)
		if took := time.Since(start); took != 2*time.Second {
			t.Errorf("the end took %v", took)
		}
		close(destination.released)
		<-w.done
	})
}

type failingWriter struct{ writes int }

func (w *failingWriter) Write([]byte) (int, error) {
	w.writes++
	return 0, errors.New("broken pipe")
}

// An error of the destination costs the lines of that write and nothing else.
func TestWriterGoesOnAfterWriteErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		destination := &failingWriter{}
		w := NewWriter(destination)
		for range 3 {
			_, _ = w.Write([]byte("line\n")) // it never fails
			synctest.Wait()
			time.Sleep(writePeriod)
		}
		w.Close(time.Second)
		if destination.writes != 3 {
			t.Errorf("%d writes", destination.writes)
		}
	})
}
