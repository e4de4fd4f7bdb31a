package policy

import "time"

// instance is the assumed state of one function at one worker: loaded, being loaded, or neither.
type instance struct {
	worker             *worker
	warmUntil          time.Duration // the function is assumed loaded until then
	announcedAt        time.Duration // when the other routers were last told that it is loaded
	loadEndsAt         time.Duration // expected end of a load under way; 0: no load is under way
	inFlight           int           // this router's attempts
	concurrency        int           // largest number of this router's requests served at the same time
	loadCommandPending bool          // this router's load command has no answer yet
	waiting            []*request    // requests that wait for that answer
}

// markNotLoaded records that the function is neither loaded nor being loaded.
func (i *instance) markNotLoaded() {
	i.warmUntil = 0
	i.loadEndsAt = 0
	i.concurrency = 0
}

// isUnused reports whether the entry may be deleted at now, because it holds no information.
func (i *instance) isUnused(now time.Duration) bool {
	return i.inFlight == 0 && !i.loadCommandPending && now > i.warmUntil && now > i.loadEndsAt
}

// isLoading reports whether a load is assumed to be under way.
func (i *instance) isLoading() bool { return i.loadEndsAt > 0 }

// isWarm reports whether the function is assumed to be loaded at now: because an answer or gossip said so, or
// because an attempt of this router is in flight there. The attempt makes the worker load the function, or
// soon shows that it is not loaded.
func (i *instance) isWarm(now time.Duration) bool { return now < i.warmUntil || i.inFlight > 0 }

// isBusy reports whether one more request would exceed the number that the instances are known to run at the
// same time: what the request says of one instance, or what was seen served.
func (i *instance) isBusy(instanceConcurrency float64) bool {
	return float64(i.inFlight) >= max(instanceConcurrency, 1, float64(i.concurrency))
}
