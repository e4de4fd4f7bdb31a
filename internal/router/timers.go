package router

import (
	"container/heap"
	"time"

	"functionrouter/policy"
)

// timerKind says what happens when a timer fires.
type timerKind uint8

const (
	// policyTimer: the policy set it with policy.SetTimer.
	policyTimer timerKind = iota // policy timer
	// attemptTimeout: the time of an attempt is over.
	attemptTimeout // attempt timeout
	// controlTimeout: the time of a control call is over.
	controlTimeout // control timeout
	// requestDeadline: the time of a request is over.
	requestDeadline // request deadline
)

// timer is a point in time at which something happens. Timers are never removed early: a timer whose subject has
// ended meanwhile does nothing.
type timer struct {
	due     time.Duration
	seq     uint64 // counts the timers in the order of their scheduling
	kind    timerKind
	token   uint64    // policyTimer: the policy's token
	control ControlID // controlTimeout: the control call
	attempt AttemptID // attemptTimeout: the attempt; requestDeadline: its Request alone
}

// fireDueTimers fires the timers that are due, those included that firing one sets.
func (r *Router) fireDueTimers() {
	for {
		t, ok := r.timers.popDue(r.now)
		if !ok {
			return
		}
		r.fire(t)
	}
}

// fire does what the kind of the timer asks for.
func (r *Router) fire(t timer) {
	switch t.kind {
	case policyTimer:
		r.events.add(policy.TimerFired{Token: t.token})
	case attemptTimeout:
		r.cancelAttempt(t.attempt, policy.TimedOut)
	case controlTimeout:
		r.timeOutControlCall(t.control)
	case requestDeadline:
		r.enforceDeadline(t.attempt.Request)
	}
}

// timerQueue holds the timers that are set. Timers due at the same time fire in the order of their scheduling.
type timerQueue struct {
	heap    timerHeap
	lastSeq uint64
}

// schedule sets t to fire at due.
func (q *timerQueue) schedule(due time.Duration, t timer) {
	q.lastSeq++
	t.due = due
	t.seq = q.lastSeq
	heap.Push(&q.heap, t)
}

// popDue takes out the first timer if it is due at now.
func (q *timerQueue) popDue(now time.Duration) (t timer, ok bool) {
	if due, ok := q.nextDue(); !ok || due > now {
		return timer{}, false
	}
	return heap.Pop(&q.heap).(timer), true
}

// nextDue returns when the first timer is due; false: none is set.
func (q *timerQueue) nextDue() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].due, true
}

// timerHeap implements heap.Interface, ordered by due time and then by sequence.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}
