package backend

import "time"

const (
	// recentIDLifetime is how long a wire id is remembered at least, longer than any call lasts. At most it is twice as
	// long.
	recentIDLifetime = 8 * time.Second

	// maxRecentIDs bounds the wire ids of one connection. A connection that remembers as many takes no new attempts, and is
	// retired.
	maxRecentIDs = 2048
)

// recentIDs remembers the wire ids of the attempts that ended on a connection, so that the connection carries none
// of them again: a duplicate of an answer, or one that comes after its attempt was cancelled, must not end
// a later attempt of the same request, which has the same wire id. All ids of a generation are forgotten together. The
// zero value is empty.
type recentIDs struct {
	current   map[string]struct{} // added since rotatedAt
	previous  map[string]struct{} // of the generation before
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

// full reports whether the connection must take no new attempts.
func (r *recentIDs) full() bool { return r.len() >= maxRecentIDs }

// rotate begins a new generation, if one is due, and forgets the one before the last.
func (r *recentIDs) rotate(now time.Duration) {
	if now-r.rotatedAt < recentIDLifetime {
		return
	}
	r.previous = r.current
	r.current = nil
	r.rotatedAt = now
}
