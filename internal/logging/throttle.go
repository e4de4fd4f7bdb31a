package logging

import "time"

// Throttle limits how often one kind of event is logged and counts the events since the last line, so that a peer that
// misbehaves thousands of times a second can't fill the log. The zero value is ready to use and has an interval of 0.
// It is not safe for concurrent use.
type Throttle struct {
	// Interval is the minimum time between two lines. It must be set before the first event.
	Interval time.Duration

	events   int           // number of events since the last line
	lastLine time.Duration // time of the last line, on the clock of Ready's caller; 0 if there was none
}

// Add counts one event.
func (t *Throttle) Add() { t.events++ }

// Ready reports whether a line is due at now: at least one event was counted, and more than Interval has passed since
// the last line. If a line is due, Ready returns the number of events that it covers and resets the count, so the
// caller must log the line. All calls must take now from one monotonic clock. If that clock starts near 0, no line is
// due within the first Interval.
func (t *Throttle) Ready(now time.Duration) (events int, due bool) {
	if t.events == 0 || now-t.lastLine <= t.Interval {
		return 0, false
	}
	events = t.events
	t.events = 0
	t.lastLine = now
	return events, true
}
