package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes is how many bytes of the log may wait for a slow destination, beside those of the write that is in
	// progress, which are as many at most. Lines beyond it are dropped.
	maxBufferedBytes = 256 << 10

	// writePeriod is the least time between two writes, so that lines of the same moment are written together.
	writePeriod = time.Millisecond
)

// Writer buffers log lines and writes them to its destination on a goroutine of its own. Write never blocks on the
// destination: a log that nobody reads must not delay the work that is logged. Lines that do not fit into the buffer are
// dropped, and their number is written after the next lines that are. It is safe for concurrent use.
type Writer struct {
	destination io.Writer     // used by the goroutine of run alone
	wake        chan struct{} // holds one token once a line came that run has not seen
	stop        chan struct{} // closed by Close
	done        chan struct{} // closed when the goroutine of run has ended

	mu       sync.Mutex // guards the fields below
	buffered []byte     // lines that have yet to be written
	dropped  int        // lines dropped since the last write to the destination
}

// NewWriter returns a Writer to destination and starts its goroutine, which alone may use destination until Close
// has returned. Close must be called once, at the end.
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

// Write buffers or drops one whole line of the log, its line break included, which it copies. It never fails: a dropped
// line counts as written. Lines that come after Close may be lost.
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
	default: // the goroutine has a token already
	}
	return len(line), nil
}

// Close writes what is buffered and ends the goroutine. If that takes longer than timeout, since the destination has
// stalled, it returns while the goroutine is still writing. A second call panics.
func (w *Writer) Close(timeout time.Duration) {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// run writes what is buffered whenever it is woken, at most once in writePeriod, until Close.
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

// writeBuffered writes what is buffered, and the number of lines that were dropped since the last write. An error of the
// destination is ignored and costs these lines: there is nowhere else to report it.
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
