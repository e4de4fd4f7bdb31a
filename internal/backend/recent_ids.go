package backend

import "time"

const (
	// recentIDLifetime is the minimum time for which a wire ID is stored. The maximum is twice as long plus one
	// SweepInterval. recentIDLifetime must exceed the longest deadline of a request (3 s in example/config.json),
	// because all attempts of the request are sent before its deadline.
	recentIDLifetime = 8 * time.Second

	// maxRecentIDs is the number of stored wire IDs at which a connection is full. A full connection accepts no new
	// attempts, and the next sweep retires it. After that, only attempts that are already pending add wire IDs.
	maxRecentIDs = 2048
)

// recentIDs stores the wire IDs of attempts that were written on a connection and have ended or been cancelled. The
// connection does not carry an attempt with a stored wire ID: all attempts of a request share a wire ID, and a
// duplicate answer, or the answer to a cancelled attempt, must not end a later attempt of the request. The wire IDs are
// stored in two generations and a whole generation is removed at a time, so that no timestamp is needed for each wire
// ID. The zero value is empty.
type recentIDs struct {
	current   map[string]struct{} // added since rotatedAt
	previous  map[string]struct{} // added in the generation before
	rotatedAt time.Duration       // when the current generation began
}

func (r *recentIDs) add(wireID string) {
	if r.current == nil {
		r.current = map[string]struct{}{}
	}
	r.current[wireID] = struct{}{}
}

func (r *recentIDs) contains(wireID string) bool {
	if _, ok := r.current[wireID]; ok {
		return true
	}
	_, ok := r.previous[wireID]
	return ok
}

func (r *recentIDs) len() int { return len(r.current) + len(r.previous) }

// full reports whether the limit on wire IDs is reached, so that the connection must not accept new attempts.
func (r *recentIDs) full() bool { return r.len() >= maxRecentIDs }

// rotate starts a new generation and removes the previous one if the current generation is at least recentIDLifetime
// old. Each sweep calls it. The first call on a connection usually rotates, because rotatedAt is 0; wire IDs that were
// added before it then belong to the previous generation.
func (r *recentIDs) rotate(now time.Duration) {
	if now-r.rotatedAt < recentIDLifetime {
		return
	}
	r.previous = r.current
	r.current = nil
	r.rotatedAt = now
}
