package router

import (
	"container/heap"
	"slices"
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
	// unsentTimeout: the time expires after which an attempt must not be sent.
	unsentTimeout // unsent timeout
	// controlTimeout: the timeout of a control call expires.
	controlTimeout // control timeout
	// requestDeadline: the deadline of a request is reached.
	requestDeadline // request deadline
)

// timer is an entry of timerQueue. If its attempt, control call or request has ended, firing it does nothing, and prune
// may remove it before it is due.
type timer struct {
	due     time.Duration
	seq     uint64 // sequence number, in the order of scheduling
	kind    timerKind
	token   uint64    // policyTimer: the token of policy.SetTimer
	control ControlID // controlTimeout: the control call
	// attempt is the attempt of an attemptTimeout or an unsentTimeout. For a requestDeadline only its Request is set, and for a policyTimer
	// only the Request of policy.SetTimer, 0 if there is none.
	attempt AttemptID
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
	case unsentTimeout:
		if _, a := r.findOpenAttempt(t.attempt); a != nil {
			r.cancelUnsentAttempt(t.attempt)
		}
	case controlTimeout:
		r.timeOutControlCall(t.control)
	case requestDeadline:
		r.enforceDeadline(t.attempt.Request)
	}
}

// isNeeded reports whether firing t may have an effect: its attempt, control call or request is pending, or it belongs to
// none.
func (r *Router) isNeeded(t timer) bool {
	switch t.kind {
	case attemptTimeout, unsentTimeout:
		_, a := r.findOpenAttempt(t.attempt)
		return a != nil
	case controlTimeout:
		_, pending := r.controls.byID[t.control]
		return pending
	default:
		return t.attempt.Request == 0 || r.requests.byID[t.attempt.Request] != nil
	}
}

// minPrunedTimers is the number of timers below which the queue is not pruned.
const minPrunedTimers = 1024

// timerQueue holds the scheduled timers. Timers that are due at the same time fire in the order of their scheduling.
//
// Clients choose how long their requests may wait, so the time until a timer is due does not bound the number of timers:
// see prune.
type timerQueue struct {
	heap    timerHeap
	lastSeq uint64
	needed  int // number of timers that the last prune left
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

// prune removes the timers that isNeeded rejects, if the queue has grown to twice the size that the last prune left. The
// queue thus holds at most minPrunedTimers more than twice as many timers as were needed at once, and the cost of pruning
// is a constant for each timer.
func (q *timerQueue) prune(isNeeded func(timer) bool) {
	if len(q.heap) < minPrunedTimers+2*q.needed {
		return
	}
	q.heap = slices.DeleteFunc(q.heap, func(t timer) bool { return !isNeeded(t) })
	heap.Init(&q.heap)
	q.needed = len(q.heap)
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
