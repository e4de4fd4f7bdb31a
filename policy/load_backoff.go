package policy

import "time"

const (
	// loadPauseUnit makes up the pause between loads: after n failures it is this time doubled n times, so
	// that the first one is 100 ms.
	loadPauseUnit = housekeepingInterval

	// maxLoadPauseDoublings bounds the pause: 50 ms doubled five times, 1.6 s. Longer, and loads begin late
	// once the store serves again; shorter, and many routers together keep a store down.
	maxLoadPauseDoublings = 5
)

// loadBackoff slows the loads down while they fail, at whatever worker: they begin one at a time, and ever
// more slowly, to spare the store that functions are loaded from. A failed load counts once for each answer
// that tells of it.
type loadBackoff struct {
	failures int           // answers that told of a failed load since one succeeded
	until    time.Duration // no load begins before
}

// isActive reports whether no load may begin at now.
func (b *loadBackoff) isActive(now time.Duration) bool { return now < b.until }

// pauseEnded reports whether loads have failed and one may begin at now to try whether they succeed again.
func (b *loadBackoff) pauseEnded(now time.Duration) bool { return b.failures > 0 && now >= b.until }

// extend counts further failures and begins the pause that follows from all of them.
func (b *loadBackoff) extend(now time.Duration, failures int) {
	b.failures += failures
	b.until = now + loadPauseUnit<<min(b.failures, maxLoadPauseDoublings)
}
