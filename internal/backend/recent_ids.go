package backend

import "time"

const (
	// recentIDLifetime is how long a wire id is remembered at least; at most it is twice as long and a SweepInterval more.
	// It has to exceed the time that a request has (the deadlines in example/config.json are 3 s at most): a later attempt
	// of a request comes within that.
	recentIDLifetime = 8 * time.Second

	// maxRecentIDs is how many wire ids make a connection full. A full connection takes no new attempts, and the next sweep
	// retires it. Only the attempts that are pending then add further ids.
	maxRecentIDs = 2048
)

// recentIDs remembers the wire ids of the attempts that were written and have ended or been cancelled on a connection, so
// that the connection carries none of them again: a duplicate of an answer, or one that comes after its attempt was
// cancelled, must not end a later attempt of the same request, which has the same wire id. All ids of a generation are
// forgotten together, so that no id needs a time of its own. The zero value is empty.
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

// rotate begins a new generation, if one is due, and forgets the previous one. Each sweep calls it. The first call on a
// connection usually finds one due, because rotatedAt is 0: ids that were added before live on as the previous generation.
func (r *recentIDs) rotate(now time.Duration) {
	if now-r.rotatedAt < recentIDLifetime {
		return
	}
	r.previous = r.current
	r.current = nil
	r.rotatedAt = now
}
