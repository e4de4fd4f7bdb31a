package simwire

import (
	"math"
	"time"
)

// maxMillis bounds the times that are converted, in milliseconds; it is some 30 years.
const maxMillis = 1e12

// fromMillis converts milliseconds to a Duration; what is no number, or out of range, becomes 0.
func fromMillis(ms float64) time.Duration {
	if math.IsNaN(ms) || math.Abs(ms) > maxMillis {
		return 0
	}
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// toMillis converts a Duration to milliseconds.
func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
