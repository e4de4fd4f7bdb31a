package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes limits the bytes that wait for a slow destination. A write in progress may hold as many again.
	// Lines that exceed the limit are dropped.
	maxBufferedBytes = 256 << 10

	// writePeriod is the minimum time between two writes, so that lines logged in quick succession are written
	// together.
	writePeriod = time.Millisecond
)

// Writer buffers log lines and writes them to its destination on its own goroutine. Write never blocks on the
// destination, so that a stalled reader of the log does not delay the code that logs. Lines that do not fit into the
// buffer are dropped, and their number is logged after the next lines that are written. It is safe for concurrent use.
type Writer struct {
	destination io.Writer     // used only by the goroutine of run
	wake        chan struct{} // buffered; signals run that Write was called
	stop        chan struct{} // closed by Close to stop run
	done        chan struct{} // closed when run returns

	mu       sync.Mutex // guards the fields below
	buffered []byte     // lines to write to the destination
	dropped  int        // lines dropped since the last write to the destination
}

// NewWriter returns a Writer to destination and starts its goroutine. Only that goroutine may use destination until
// Close has returned. Close must be called exactly once.
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

// Write copies one whole log line, including its line break, to the buffer, or drops it if the buffer is full. It never
// fails: a dropped line counts as written. Lines written after Close may be lost.
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
	default: // run is already signalled
	}
	return len(line), nil
}

// Close writes the buffered lines and stops the goroutine. If that takes longer than timeout because the destination
// has stalled, Close returns while the goroutine is still writing. A second call panics.
func (w *Writer) Close(timeout time.Duration) {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// run writes the buffered lines whenever Write signals it, at most once per writePeriod, until Close.
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

// writeBuffered writes the buffered lines and the number of lines that were dropped since the last write. It ignores an
// error of the destination, because there is no other place to report it; the lines of that write are lost.
func (w *Writer) writeBuffered() {
	w.mu.Lock()
	batch := w.buffered
	dropped := w.dropped
	w.buffered = nil
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "level=WARN msg=\"log lines dropped\" lines=%d\n", dropped)
	}
	if len(batch) > 0 {
		_, _ = w.destination.Write(batch)
	}
}
