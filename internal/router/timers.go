package router

import (
	"container/heap"
	"time"

	"functionrouter/policy"
)

// timerKind determines what the Router does when a timer fires.
type timerKind uint8

const (
	// policyTimer: a timer that the policy set with policy.SetTimer expires.
	policyTimer timerKind = iota // policy timer
	// attemptTimeout: the timeout of an attempt expires.
	attemptTimeout // attempt timeout
	// controlTimeout: the timeout of a control call expires.
	controlTimeout // control timeout
	// requestDeadline: the deadline of a request is reached.
	requestDeadline // request deadline
)

// timer is an entry of timerQueue. A timer is never removed before it is due: if its attempt, control call or request
// has ended by then, firing it does nothing.
type timer struct {
	due     time.Duration
	seq     uint64 // sequence number, in the order of scheduling
	kind    timerKind
	token   uint64    // policyTimer: the token of policy.SetTimer
	control ControlID // controlTimeout: the control call
	attempt AttemptID // attemptTimeout: the attempt; requestDeadline: only Request is set
}

// fireDueTimers fires all timers that are due, including those that are scheduled when another timer fires.
func (r *Router) fireDueTimers() {
	for {
		t, ok := r.timers.popDue(r.now)
		if !ok {
			return
		}
		r.fire(t)
	}
}

// fire runs the action of an expired timer.
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

// timerQueue holds the scheduled timers. Timers that are due at the same time fire in the order of their scheduling.
type timerQueue struct {
	heap    timerHeap
	lastSeq uint64
}

// schedule adds t to the queue, to fire at due.
func (q *timerQueue) schedule(due time.Duration, t timer) {
	q.lastSeq++
	t.due = due
	t.seq = q.lastSeq
	heap.Push(&q.heap, t)
}

// popDue removes and returns the earliest timer if it is due at now.
func (q *timerQueue) popDue(now time.Duration) (t timer, ok bool) {
	if due, ok := q.nextDue(); !ok || due > now {
		return timer{}, false
	}
	return heap.Pop(&q.heap).(timer), true
}

// nextDue returns the time at which the earliest timer is due, or false if the queue is empty.
func (q *timerQueue) nextDue() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].due, true
}

// timerHeap implements heap.Interface, ordered by due time and then by sequence number.
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
