package logging

import "time"

// Throttle limits how often one kind of event is logged and counts the events since the last line, so that
// a peer that misbehaves thousands of times a second can't fill the log. The zero value is ready to use and has an
// interval of 0. It is not safe for concurrent use.
type Throttle struct {
	// Interval is the least time between two lines. Set it before the first event.
	Interval time.Duration

	events   int           // since the last line
	lastLine time.Duration // when it was due, on the clock of Ready's caller; 0: there was none
}

// Add counts one event.
func (t *Throttle) Add() { t.events++ }

// Ready reports whether a line is due at now: events were counted, and the last line is longer ago than
// Interval. If one is due, Ready returns how many events the line stands for and counts anew, so that the caller must log
// the line. All calls must take now from one monotonic clock. If that starts near 0, no line is due in the first Interval.
func (t *Throttle) Ready(now time.Duration) (events int, due bool) {
	if t.events == 0 || now-t.lastLine <= t.Interval {
		return 0, false
	}
	events = t.events
	t.events = 0
	t.lastLine = now
	return events, true
}
