package eventloop

import "sync"

// postQueue holds the calls that other goroutines have posted to the loop's goroutine. It is safe for concurrent use.
type postQueue struct {
	mu     sync.Mutex
	calls  []func()
	closed bool // calls are dropped
}

// add queues call, and wakes the poller if the queue was empty. It holds the lock meanwhile, so that the poller is not
// closed before it is woken.
func (q *postQueue) add(call func(), p *poller) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.calls = append(q.calls, call)
	if len(q.calls) == 1 {
		p.wake()
	}
}

// take removes the queued calls and returns them in order. The queue reuses the array of spare, an earlier batch whose
// calls have been made.
func (q *postQueue) take(spare []func()) []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := q.calls
	q.calls = spare[:0]
	return batch
}

// close drops the queued calls and all that are added later. The poller may be closed after close has returned.
func (q *postQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.calls = nil
	q.closed = true
}
