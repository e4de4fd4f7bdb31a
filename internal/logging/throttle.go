// Package logging holds what the other packages share for their log lines.
package logging

import "time"

// Throttle limits how often one kind of event is logged and counts the events since the last line, so that
// a peer that misbehaves thousands of times a second can't fill the log. The zero value is ready to use. It is
// not safe for concurrent use.
type Throttle struct {
	// Interval is the least time between two lines.
	Interval time.Duration

	events   int
	lastLine time.Duration
}

// Add counts one event.
func (t *Throttle) Add() { t.events++ }

// Ready reports whether a line is due at now: events were counted, and the last line is longer ago than
// Interval. It returns how many events the line stands for and begins to count anew.
func (t *Throttle) Ready(now time.Duration) (events int, due bool) {
	if t.events == 0 || now-t.lastLine <= t.Interval {
		return 0, false
	}
	events = t.events
	t.events, t.lastLine = 0, now
	return events, true
}
