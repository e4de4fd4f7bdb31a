// Package fieldvalue checks the values of a request's fields: the ids and figures that every frontend reads, with one set of
// bounds for all of them.
package fieldvalue

import "time"

// The largest figures that a request may give. No worker can hold a function beyond them, and they would distort the
// policy's estimates.
const (
	MaxMemoryMB    = 1 << 20 // MiB
	MaxConcurrency = 1024    // requests
	MaxLoadMs      = 600_000 // milliseconds
	MaxWaitMs      = 600_000 // milliseconds
)

// InRange reports whether v is a number from 0 to limit; NaN is not.
func InRange(v, limit float64) bool { return v >= 0 && v <= limit }

// Milliseconds returns the duration that a figure in milliseconds stands for. The figure must be within the bounds above.
func Milliseconds(figure float64) time.Duration {
	return time.Duration(figure * float64(time.Millisecond))
}
