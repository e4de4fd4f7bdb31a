package policy

import (
	"slices"
	"time"
)

// recentEvents counts the events within a time window. Events at the same clock reading share an entry, so
// that a flood of them, which the router reads in few turns, takes little memory. Adding and dropping an
// event take constant time on average.
type recentEvents struct {
	entries []eventsAt // in ascending order of time
	dropped int        // number of entries at the front that do not count because they have left the window
	count   int        // number of events
}

// eventsAt is the number of events at one clock reading.
type eventsAt struct {
	at    time.Duration
	count int
}

// add counts an event at now, which must not be before the previous event.
func (r *recentEvents) add(now time.Duration) {
	r.count++
	if last := len(r.entries) - 1; last >= r.dropped && r.entries[last].at == now {
		r.entries[last].count++
		return
	}
	r.entries = append(r.entries, eventsAt{at: now, count: 1})
}

// dropBefore removes the events before earliest.
func (r *recentEvents) dropBefore(earliest time.Duration) {
	for r.dropped < len(r.entries) && r.entries[r.dropped].at < earliest {
		r.count -= r.entries[r.dropped].count
		r.dropped++
	}
	if 2*r.dropped > len(r.entries) {
		r.entries = slices.Delete(r.entries, 0, r.dropped)
		r.dropped = 0
	}
}
