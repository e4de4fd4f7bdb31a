package policy

import (
	"fmt"
	"math"
)

// validate returns a [*ConfigError] for the first setting that a Policy cannot work with.
func validate(cfg *Config) error {
	if len(cfg.Classes) == 0 {
		return &ConfigError{"Classes", "the list is empty"}
	}
	for i := range cfg.Classes {
		if !cfg.Classes[i].isValid() {
			return &ConfigError{
				fmt.Sprintf("Classes[%d]", i),
				fmt.Sprintf(
					"LatencyObjective or Deadline <= 0, DedupWindow < 0, or unknown enum value: %+v",
					cfg.Classes[i],
				),
			}
		}
	}
	return validateNumbers(cfg)
}

// isValid reports whether a class's times are in range and its enumerations have known values.
func (c *Class) isValid() bool {
	timesValid := c.LatencyObjective > 0 && c.Deadline > 0 && c.DedupWindow >= 0
	enumsKnown := c.Idempotency <= NotIdempotent && c.DedupScope <= DedupCell
	return timesValid && enumsKnown
}

// validateNumbers checks the settings that must be finite and not negative, and the shares, which must be at
// most 1.
func validateNumbers(cfg *Config) error {
	noLimit := math.MaxFloat64
	for _, setting := range []struct {
		field      string
		value      float64
		upperBound float64
	}{
		{"MaxAttempts", float64(cfg.MaxAttempts), noLimit},
		{"Tick", float64(cfg.Tick), noLimit},
		{"SlowStartCapacity", cfg.SlowStartCapacity, 1},
		{"SlowStartDuration", float64(cfg.SlowStartDuration), noLimit},
		{"OverloadMultiple", cfg.OverloadMultiple, noLimit},
		{"OverloadWindow", float64(cfg.OverloadWindow), noLimit},
		{"InstanceKeepAlive", float64(cfg.InstanceKeepAlive), noLimit},
		{"LoadCommandWindow", float64(cfg.LoadCommandWindow), noLimit},
		{"LoadCommandAllowance", cfg.LoadCommandAllowance, noLimit},
		{"LoadCommandsPerRequest", cfg.LoadCommandsPerRequest, noLimit},
	} {
		inRange := setting.value >= 0 && setting.value <= setting.upperBound // false for NaN
		if !inRange {
			return &ConfigError{
				setting.field,
				fmt.Sprintf("%v is not between 0 and %.4g", setting.value, setting.upperBound),
			}
		}
	}
	return nil
}
