package policy

import "time"

const (
	// loadPauseUnit is the base of the pause between loads. After n failures the pause is this time doubled n
	// times, so the first pause is 100 ms.
	loadPauseUnit = housekeepingInterval

	// maxLoadPauseDoublings bounds the pause to 50 ms doubled five times, 1.6 s. With a longer pause, loads
	// begin late after the store that functions are loaded from has recovered; with a shorter pause, many
	// routers together overload a failing store.
	maxLoadPauseDoublings = 5
)

// loadBackoff slows down the loads at all workers while loads fail at any worker: loads then begin one at a
// time with growing pauses, to reduce the load on the store that functions are loaded from. A failed load
// counts once for each answer that reports it.
type loadBackoff struct {
	failures int           // answers that reported a failed load since a load last succeeded
	until    time.Duration // end of the latest pause
}

// isActive reports whether a pause lasts at now. place then avoids new loads; see withoutNewLoads.
func (b *loadBackoff) isActive(now time.Duration) bool { return now < b.until }

// pauseEnded reports whether loads have failed and the pause is over, so that one load may begin at now.
func (b *loadBackoff) pauseEnded(now time.Duration) bool { return b.failures > 0 && now >= b.until }

// extend adds failures, which may be 0, and begins the pause that corresponds to the sum.
func (b *loadBackoff) extend(now time.Duration, failures int) {
	b.failures += failures
	b.until = now + loadPauseUnit<<min(b.failures, maxLoadPauseDoublings)
}
