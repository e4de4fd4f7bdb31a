// Package fieldvalue parses and checks the values of a request's fields. All frontends use it, so that the same formats
// and bounds apply to every request.
package fieldvalue

import "time"

// The maximum values of a request's numeric fields. No worker can run a function with larger values, and larger values
// would distort the policy's estimates.
const (
	MaxMemoryMB    = 1 << 20 // MiB
	MaxConcurrency = 1024    // requests
	MaxLoadMs      = 600_000 // milliseconds
	MaxWaitMs      = 600_000 // milliseconds
)

// InRange reports whether v is between 0 and limit, both included. It returns false for NaN.
func InRange(v, limit float64) bool { return v >= 0 && v <= limit }

// Milliseconds converts a number of milliseconds to a duration. ms must be within the bounds above.
func Milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
