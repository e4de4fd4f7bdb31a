package simwire

import (
	"math"
	"time"
)

// maxMillis is the largest number of milliseconds that is converted to a Duration. It is about 30 years.
const maxMillis = 1e12

// fromMillis converts milliseconds to a Duration. It returns 0 for NaN and for an absolute value above maxMillis.
func fromMillis(ms float64) time.Duration {
	if math.IsNaN(ms) || math.Abs(ms) > maxMillis {
		return 0
	}
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// toMillis converts a Duration to milliseconds.
func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
