package eventloop

import "time"

// clockOrigin is the clock's reading at its start. It is above zero so that instants shortly before the start
// are positive too, and zero can stand for "never".
const clockOrigin = time.Hour

// never is a time that does not come.
const never = time.Duration(1<<63 - 1)

// clock is a monotonic clock with readings in whole microseconds. It is safe for concurrent use.
type clock struct {
	start time.Time
}

// now reads the clock.
func (c clock) now() time.Duration {
	return (clockOrigin + time.Since(c.start)).Truncate(time.Microsecond)
}

// fromWallTime converts a wall-clock time to a reading of the clock. A step of the wall clock since the start shifts the
// result.
func (c clock) fromWallTime(t time.Time) time.Duration {
	return (clockOrigin + t.Sub(c.start.Round(0))).Truncate(time.Microsecond)
}
