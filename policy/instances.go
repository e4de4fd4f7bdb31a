package policy

import "time"

// instance is the assumed state of one function at one worker: loaded, being loaded, or neither.
type instance struct {
	worker             *worker
	warmUntil          time.Duration // until when the function is assumed loaded
	announcedAt        time.Duration // when announce last added the instance to the gossip
	loadEndsAt         time.Duration // expected end of the load under way; 0: no load is under way
	inFlight           int           // this router's attempts in flight
	concurrency        int           // largest number of this router's requests served at the same time
	loadCommandPending bool          // this router's load command has no answer yet
	waiting            waitQueue     // requests that wait for the answer to that command
}

// markNotLoaded records that the function is neither loaded nor being loaded.
func (i *instance) markNotLoaded() {
	i.warmUntil = 0
	i.loadEndsAt = 0
	i.concurrency = 0
}

// isUnused reports whether the entry may be deleted at now: no attempt is in flight, no load command is
// pending, and warmUntil and loadEndsAt have passed.
func (i *instance) isUnused(now time.Duration) bool {
	return i.isIdle() && now > i.warmUntil && now > i.loadEndsAt
}

// isIdle reports whether no attempt is in flight and no load command is pending.
func (i *instance) isIdle() bool { return i.inFlight == 0 && !i.loadCommandPending }

// isLoading reports whether a load is assumed to be under way.
func (i *instance) isLoading() bool { return i.loadEndsAt > 0 }

// isWarm reports whether the function is assumed to be loaded at now: because an answer or gossip said so, or
// because an attempt of this router is in flight there. The attempt makes the worker load the function, or
// soon shows that it is not loaded.
func (i *instance) isWarm(now time.Duration) bool { return now < i.warmUntil || i.inFlight > 0 }

// isBusy reports whether one more request would exceed the number of requests that the worker's instances of
// the function can run at the same time. That number is assumed to be the larger of the concurrency that the
// request states for one instance and the largest number of requests that were served at the same time.
func (i *instance) isBusy(instanceConcurrency float64) bool {
	return float64(i.inFlight) >= max(instanceConcurrency, 1, float64(i.concurrency))
}
