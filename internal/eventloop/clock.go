package eventloop

import "time"

// clockOrigin is the clock's reading at its start. It is positive so that times shortly before the start are positive
// too, and zero can mean that something has not happened.
const clockOrigin = time.Hour

// never is later than any reading of the clock.
const never = time.Duration(1<<63 - 1)

// clock is a monotonic clock with readings in whole microseconds. It is safe for concurrent use.
type clock struct {
	start      time.Time
	sinceStart func() time.Duration
}

// newClock returns a clock that starts now.
func newClock() clock {
	start := time.Now()
	return clock{start: start, sinceStart: func() time.Duration { return time.Since(start) }}
}

// now returns the present reading of the clock.
func (c clock) now() time.Duration {
	return (clockOrigin + c.sinceStart()).Truncate(time.Microsecond)
}

// fromWallTime converts a wall-clock time to a reading of the clock. If the wall clock was stepped since the start, the
// result is off by the step.
func (c clock) fromWallTime(t time.Time) time.Duration {
	return (clockOrigin + t.Sub(c.start.Round(0))).Truncate(time.Microsecond)
}
