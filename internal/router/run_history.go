package router

import (
	"hash/maphash"
	"time"

	"functionrouter/policy"
)

// requestIDSeed is the seed of the hashes by which runHistory knows requests.
var requestIDSeed = maphash.MakeSeed()

// run is an attempt that may have run, of a request whose class does not allow it to run again at will.
type run struct {
	class  int
	worker policy.WorkerID
	sentAt time.Duration
}

// runHistory holds the first run of each request that has ended, so that a request that comes again with the same
// Request.ID, from whatever client, is not taken for a new one. The runs are kept for at least a lifetime, and for at most
// twice as long: they are kept in two generations, and a whole generation is removed at a time. Clients choose the IDs, so
// their hashes are kept instead; if two IDs have the same hash, the later request fails.
type runHistory struct {
	lifetime  time.Duration // 0: nothing is kept
	limit     int           // number of runs at which the history is full
	current   map[uint64]run
	previous  map[uint64]run
	rotatedAt time.Duration // when the current generation began
}

// add keeps the run of a request.
func (h *runHistory) add(now time.Duration, requestID string, r run) {
	if h.lifetime == 0 {
		return
	}
	h.rotate(now)
	if h.current == nil {
		h.current = map[uint64]run{}
	}
	h.current[maphash.String(requestIDSeed, requestID)] = r
}

// find returns the run of an earlier request with this ID, if there is one.
func (h *runHistory) find(now time.Duration, requestID string) (r run, found bool) {
	h.rotate(now)
	if h.len() == 0 {
		return run{}, false
	}
	hash := maphash.String(requestIDSeed, requestID)
	if r, found = h.current[hash]; !found {
		r, found = h.previous[hash]
	}
	return r, found
}

func (h *runHistory) len() int { return len(h.current) + len(h.previous) }

// full reports whether no further run may be added. The requests that would add one are refused, because a run that is
// removed early may be repeated.
func (h *runHistory) full(now time.Duration) bool {
	h.rotate(now)
	return h.lifetime > 0 && h.len() >= h.limit
}

// rotate begins a new generation if the current one is as old as the lifetime.
func (h *runHistory) rotate(now time.Duration) {
	age := now - h.rotatedAt
	if age < h.lifetime {
		return
	}
	h.previous = nil
	if age < 2*h.lifetime {
		h.previous = h.current
	}
	h.current = nil
	h.rotatedAt = now
}
