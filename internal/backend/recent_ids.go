package backend

import "time"

const (
	// recentIDLifetime is how long an id is remembered at least, longer than any call lasts; it is at most twice that.
	recentIDLifetime = 8 * time.Second

	// maxRecentIDs bounds the ids of one connection. One that holds as many takes no new attempts, and is retired.
	maxRecentIDs = 2048
)

// recentIDs remembers the ids of the attempts that ended on a connection, so that the connection carries none
// of them again: a duplicate of an answer, or one that comes after its attempt was cancelled, must not end
// a later attempt of the same request. Ids are forgotten by whole generations. The zero value is empty.
type recentIDs struct {
	current   map[string]struct{}
	previous  map[string]struct{}
	rotatedAt time.Duration
}

func (r *recentIDs) add(id string) {
	if r.current == nil {
		r.current = map[string]struct{}{}
	}
	r.current[id] = struct{}{}
}

func (r *recentIDs) contains(id string) bool {
	if _, ok := r.current[id]; ok {
		return true
	}
	_, ok := r.previous[id]
	return ok
}

func (r *recentIDs) len() int { return len(r.current) + len(r.previous) }

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
