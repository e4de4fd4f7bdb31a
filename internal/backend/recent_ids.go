package backend

import (
	"hash/maphash"
	"time"
)

// maxRecentIDs is the number of stored wire IDs at which a connection is full. A full connection accepts no new attempts,
// and the next sweep retires it. After that, only attempts that are already pending add wire IDs.
const maxRecentIDs = 2048

// wireIDSeed is the seed of the hashes that recentIDs stores.
var wireIDSeed = maphash.MakeSeed()

// recentIDs stores the wire IDs of attempts that were written on a connection and have ended or been cancelled. The
// connection does not carry an attempt with a stored wire ID: all attempts of a request share a wire ID, and a
// duplicate answer, or the answer to a cancelled attempt, must not end a later attempt of the request. The wire IDs are
// stored for at least Config.RecentIDLifetime, and for at most twice as long plus one SweepInterval: they are stored in
// two generations and a whole generation is removed at a time, so that no timestamp is needed for each wire ID. Clients
// choose the IDs, so that their hashes are stored instead; if two wire IDs have the same hash, another connection carries
// the attempt. The zero value is empty.
type recentIDs struct {
	current   map[uint64]struct{} // added since rotatedAt
	previous  map[uint64]struct{} // added in the generation before
	rotatedAt time.Duration       // when the current generation began
}

func (r *recentIDs) add(wireID string) {
	if r.current == nil {
		r.current = map[uint64]struct{}{}
	}
	r.current[maphash.String(wireIDSeed, wireID)] = struct{}{}
}

func (r *recentIDs) contains(wireID string) bool {
	hash := maphash.String(wireIDSeed, wireID)
	if _, ok := r.current[hash]; ok {
		return true
	}
	_, ok := r.previous[hash]
	return ok
}

func (r *recentIDs) len() int { return len(r.current) + len(r.previous) }

// full reports whether the limit on wire IDs is reached, so that the connection must not accept new attempts.
func (r *recentIDs) full() bool { return r.len() >= maxRecentIDs }

// rotate starts a new generation and removes the previous one if the current generation is at least lifetime old. Each
// sweep calls it. The first call on a connection usually rotates, because rotatedAt is 0; wire IDs that were added before
// it then belong to the previous generation.
func (r *recentIDs) rotate(now, lifetime time.Duration) {
	if now-r.rotatedAt < lifetime {
		return
	}
	r.previous = r.current
	r.current = nil
	r.rotatedAt = now
}
