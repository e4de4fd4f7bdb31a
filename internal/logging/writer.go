package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes is how much of the log may wait for a reader that is slow. What comes beyond is dropped.
	maxBufferedBytes = 256 << 10

	// writePeriod is the least time between two writes, so that lines that come together are written together.
	writePeriod = time.Millisecond
)

// Writer hands what is written to it to another writer on a goroutine of its own. Write never blocks: a log that nobody
// reads must not hold up what is logged about. Lines that find the buffer full are dropped, and their number is written
// once there is room. It is safe for concurrent use.
type Writer struct {
	destination io.Writer
	wake        chan struct{} // holds one token while there is something to write
	stop        chan struct{} // closed by Close
	done        chan struct{} // closed once the goroutine has ended

	mu       sync.Mutex
	buffered []byte
	dropped  int // writes since the buffer was full
}

// NewWriter returns a Writer to destination. Close must be called at the end.
func NewWriter(destination io.Writer) *Writer {
	w := &Writer{
		destination: destination,
		wake:        make(chan struct{}, 1),
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
	}
	go w.run()
	return w
}

// Write takes a line of the log. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buffered)+len(line) > maxBufferedBytes {
		w.dropped++
	} else {
		w.buffered = append(w.buffered, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default: // a token is there already
	}
	return len(line), nil
}

// Close writes what is buffered and ends the goroutine. It waits for that for no longer than timeout: the reader may have
// stalled.
func (w *Writer) Close(timeout time.Duration) {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case <-w.wake:
			w.writeBuffered()
			time.Sleep(writePeriod)
		case <-w.stop:
			w.writeBuffered()
			return
		}
	}
}

// writeBuffered writes what is buffered. An error is dropped with the lines: there is nowhere to report it.
func (w *Writer) writeBuffered() {
	w.mu.Lock()
	batch, dropped := w.buffered, w.dropped
	w.buffered, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "level=WARN msg=\"log lines dropped\" lines=%d\n", dropped)
	}
	if len(batch) > 0 {
		_, _ = w.destination.Write(batch)
	}
}
