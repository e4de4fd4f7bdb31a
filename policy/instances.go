package policy

import "time"

// instance is what the policy believes of one function at one worker: whether it is loaded, being loaded, or
// neither.
type instance struct {
	worker             *worker
	warmUntil          time.Duration // believed to be loaded until then
	announcedAt        time.Duration // when the other routers were last told that it is loaded
	loadEndsAt         time.Duration // when a load under way is expected to end; 0: none is
	inFlight           int           // our attempts
	concurrency        int           // most of our requests that were seen to be served at a time
	loadCommandPending bool          // our load command has no answer yet
	waiting            []*request    // requests that wait for that answer
}

// markNotLoaded drops the belief that the function is loaded or being loaded.
func (i *instance) markNotLoaded() {
	i.warmUntil = 0
	i.loadEndsAt = 0
	i.concurrency = 0
}

// isUnused reports whether the entry may be forgotten at now, since it says nothing.
func (i *instance) isUnused(now time.Duration) bool {
	return i.inFlight == 0 && !i.loadCommandPending && now > i.warmUntil && now > i.loadEndsAt
}

// isLoading reports whether a load is believed to be under way.
func (i *instance) isLoading() bool { return i.loadEndsAt > 0 }

// isWarm reports whether the function is believed to be loaded at now: by an answer or by gossip, or because
// an attempt of ours is at it, which has it loaded or soon shows that it is not.
func (i *instance) isWarm(now time.Duration) bool { return now < i.warmUntil || i.inFlight > 0 }

// isBusy reports whether one request more would exceed what the instances are known to run at a time: what
// the request says of one instance, or what was seen to be served.
func (i *instance) isBusy(instanceConcurrency float64) bool {
	return float64(i.inFlight) >= max(instanceConcurrency, 1, float64(i.concurrency))
}
