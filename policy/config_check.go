package policy

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// noUpperBound is the upper bound of a setting that may have any finite value of at least 0.
const noUpperBound = math.MaxFloat64

// validate returns a [*ConfigError] for the first setting that a Policy cannot work with.
func validate(cfg *Config) error {
	if len(cfg.Classes) == 0 {
		return &ConfigError{"Classes", "the list is empty"}
	}
	for i := range cfg.Classes {
		if field, reason := cfg.Classes[i].firstFault(); field != "" {
			return &ConfigError{fmt.Sprintf("Classes[%d].%s", i, field), reason}
		}
	}
	return validateNumbers(cfg)
}

// firstFault returns a field of c with an invalid value, and what is wrong with the value. If several fields
// are invalid, it returns the one that comes first in its switch. It returns empty strings if all times are
// in range and all enumerations have known values.
func (c *Class) firstFault() (field, reason string) {
	switch {
	case c.LatencyObjective <= 0:
		return "LatencyObjective", fmt.Sprintf("%v is not positive", c.LatencyObjective)
	case c.Deadline <= 0:
		return "Deadline", fmt.Sprintf("%v is not positive", c.Deadline)
	case c.DedupWindow < 0:
		return "DedupWindow", fmt.Sprintf("%v is negative", c.DedupWindow)
	case c.Idempotency > NotIdempotent:
		return "Idempotency", fmt.Sprintf("%d is not a known value", c.Idempotency)
	case c.DedupScope > DedupCell:
		return "DedupScope", fmt.Sprintf("%d is not a known value", c.DedupScope)
	default:
		return "", ""
	}
}

// validateNumbers returns a [*ConfigError] for the first of the settings below that is negative or not finite
// or, for SlowStartCapacity, above 1. The comment of [Config] explains why New does not check the other
// settings.
func validateNumbers(cfg *Config) error {
	return cmp.Or(
		validateNumber("MaxAttempts", cfg.MaxAttempts, noUpperBound),
		validateNumber("MaxFunctionEntries", cfg.MaxFunctionEntries, noUpperBound),
		validateNumber("Tick", cfg.Tick, noUpperBound),
		validateNumber("SlowStartCapacity", cfg.SlowStartCapacity, 1),
		validateNumber("SlowStartDuration", cfg.SlowStartDuration, noUpperBound),
		validateNumber("OverloadMultiple", cfg.OverloadMultiple, noUpperBound),
		validateNumber("OverloadWindow", cfg.OverloadWindow, noUpperBound),
		validateNumber("InstanceKeepAlive", cfg.InstanceKeepAlive, noUpperBound),
		validateNumber("LoadCommandWindow", cfg.LoadCommandWindow, noUpperBound),
		validateNumber("LoadCommandAllowance", cfg.LoadCommandAllowance, noUpperBound),
		validateNumber("LoadCommandsPerRequest", cfg.LoadCommandsPerRequest, noUpperBound),
	)
}

// validateNumber returns a [*ConfigError] unless the value of a field is at least 0 and at most upperBound.
func validateNumber[T int | float64 | time.Duration](field string, value T, upperBound float64) error {
	number := float64(value)
	switch {
	case number >= 0 && number <= upperBound: // false for NaN
		return nil
	case math.IsNaN(number):
		return &ConfigError{field, "NaN is not a finite number"}
	case upperBound < noUpperBound:
		return &ConfigError{field, fmt.Sprintf("%v is not between 0 and %v", value, upperBound)}
	case number < 0:
		return &ConfigError{field, fmt.Sprintf("%v is negative", value)}
	default:
		return &ConfigError{field, fmt.Sprintf("%v is not finite", value)}
	}
}
