package policy

import "slices"

// waitQueue holds requests that wait, in the order in which they began to wait. A request that ends while
// it waits stays in the queue for some time, but such requests are at most half of the queue: clients that
// withdraw requests do not make it grow.
type waitQueue struct {
	requests []*request
	finished int // number of requests that have ended while they waited
}

// add appends a request. The request must not be in any queue.
func (q *waitQueue) add(r *request) {
	q.requests = append(q.requests, r)
	r.waitsIn = q
}

// requestFinished tells the queue that one of its requests has ended.
func (q *waitQueue) requestFinished() {
	q.finished++
	if 2*q.finished <= len(q.requests) {
		return
	}
	q.requests = slices.DeleteFunc(q.requests, func(r *request) bool { return r.finished })
	q.finished = 0
}

// takeAll empties the queue and returns its requests, including those that have ended while they waited.
func (q *waitQueue) takeAll() []*request { return q.take(len(q.requests)) }

// take removes the given number of requests that have waited longest, or all if there are fewer, and returns
// them, including those that have ended while they waited.
func (q *waitQueue) take(count int) []*request {
	count = min(count, len(q.requests))
	taken := q.requests[:count:count]
	q.requests = q.requests[count:]
	if len(q.requests) == 0 {
		q.requests = nil // the array belongs to taken
	}
	for _, r := range taken {
		r.waitsIn = nil
		if r.finished {
			q.finished--
		}
	}
	return taken
}
