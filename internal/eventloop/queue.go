package eventloop

import (
	"fmt"
	"sync"
	"time"

	"github.com/lesismal/nbio"
)

// maxPendingAccepts is how many accepted connections may wait in the queue. Beyond it nothing is accepted: a
// connection that the loop has not seen holds a descriptor that the limit on connections doesn't cover.
const maxPendingAccepts = 8

// eventKind says what an event reports, and so which of its fields are set.
type eventKind uint8

const (
	eventData     eventKind = iota // conn received data
	eventAccepted                  // conn was accepted
	eventClosed                    // conn was closed, with err
	eventDialed                    // the dial of conn ended, with nbioConn or err
	eventCall                      // call is due; data only counts towards the limit
)

var eventKindNames = [...]string{
	eventData:     "data",
	eventAccepted: "accepted",
	eventClosed:   "closed",
	eventDialed:   "dialed",
	eventCall:     "call",
}

func (k eventKind) String() string {
	if int(k) < len(eventKindNames) {
		return eventKindNames[k]
	}
	return fmt.Sprintf("eventKind(%d)", uint8(k))
}

// event is one thing that happened outside the loop's goroutine.
type event struct {
	kind     eventKind
	conn     *Conn
	nbioConn *nbio.Conn
	data     []byte
	err      error
	call     func()
}

// eventQueue carries events, in order, from the goroutines that do I/O to the loop's goroutine. It is bounded
// in the bytes received and in the connections accepted: beyond a bound push blocks, which stops reading or
// accepting, and what the kernel then holds back slows the peers down (back-pressure).
type eventQueue struct {
	clock    clock
	maxBytes int           // data beyond it waits
	wake     chan struct{} // holds one token while events may be queued

	mu             sync.Mutex
	drained        *sync.Cond // signalled when the loop has taken what was queued
	events         []event
	queuedBytes    int           // of data, in events
	pendingAccepts int           // accepted connections in events
	oldest         time.Duration // when the first of events was queued
}

func newEventQueue(c clock, maxBytes int) *eventQueue {
	q := &eventQueue{clock: c, maxBytes: maxBytes, wake: make(chan struct{}, 1)}
	q.drained = sync.NewCond(&q.mu)
	return q
}

// push appends e and wakes the loop. Where e's kind is at its bound it blocks the caller until the loop has
// taken what is queued. It is safe for concurrent use; the loop's own goroutine may push calls without data.
func (q *eventQueue) push(e event) {
	q.mu.Lock()
	for q.isFullFor(&e) {
		q.drained.Wait()
	}
	if e.kind == eventAccepted {
		q.pendingAccepts++
	}
	if len(q.events) == 0 {
		q.oldest = q.clock.now()
	}
	q.events = append(q.events, e)
	q.queuedBytes += len(e.data)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default: // a token is there already
	}
}

// isFullFor reports whether e has to wait. A close never does, nor any other event without data.
func (q *eventQueue) isFullFor(e *event) bool {
	if e.kind == eventAccepted {
		return q.pendingAccepts >= maxPendingAccepts
	}
	return len(e.data) > 0 && q.queuedBytes > q.maxBytes
}

// take returns the queued events and the time of the turn that handles them. The queue reuses the array of
// spare, a batch that is no longer needed.
//
// The time is the turn's only reading of the clock. It is the moment at which the first event was queued, since
// the requests of this turn count from then: a later one would promise more time than there is.
func (q *eventQueue) take(spare []event) (batch []event, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch = q.events
	q.events = spare[:0]
	q.queuedBytes = 0
	q.pendingAccepts = 0
	q.drained.Broadcast()
	if len(batch) > 0 {
		return batch, q.oldest
	}
	return batch, q.clock.now()
}
