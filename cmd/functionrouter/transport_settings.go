package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// Defaults for settings that are absent, zero or negative. The platform always sets these settings; the defaults are of
// the same order of magnitude as its values.
const (
	defaultDialTimeoutMs        = 250    // milliseconds
	defaultIdleTimeoutMs        = 30_000 // milliseconds
	defaultMaxOpenRequests      = 20_000
	defaultStreamsPerConnection = 32
)

// transportSettings holds the settings that are used outside of the policy: by the frontends, the connections and the
// endpoint list. The policy identifies zones, classes and tenants only by index.
type transportSettings struct {
	FailureDomains []string        `json:"failureDomains"` // names of the zones
	Classes        []namedSetting  `json:"classes"`
	Tenants        []namedSetting  `json:"accounts"`
	Limits         transportLimits `json:"limits"`
}

// namedSetting is a class or a tenant. Only its name is parsed here.
type namedSetting struct {
	Name string `json:"name"`
}

// transportLimits limits connections to workers and open requests.
type transportLimits struct {
	DialTimeoutMs float64 `json:"dialTimeoutMs"` // timeout of a dial to a worker, in milliseconds
	// IdleTimeoutMs is the time in milliseconds after which workers close an idle connection. The pool closes it
	// earlier.
	IdleTimeoutMs        float64 `json:"keepaliveMs"`
	MaxOpenRequests      int     `json:"maxOpen"`        // config.maxOpenRequests may reduce it
	StreamsPerConnection int     `json:"streamsPerConn"` // attempts in flight on one connection to a worker
}

// parse parses the settings and sets the defaults. It fails if the JSON does not fit the type or a class has no name; t
// must not be used then.
func (t *transportSettings) parse(settings []byte) error {
	if err := json.Unmarshal(settings, t); err != nil {
		return err
	}
	for i, class := range t.Classes {
		if class.Name == "" {
			return fmt.Errorf("class %d: %w", i, errNoClassName)
		}
	}
	setDefault(&t.Limits.DialTimeoutMs, defaultDialTimeoutMs)
	setDefault(&t.Limits.IdleTimeoutMs, defaultIdleTimeoutMs)
	setDefault(&t.Limits.MaxOpenRequests, defaultMaxOpenRequests)
	setDefault(&t.Limits.StreamsPerConnection, defaultStreamsPerConnection)
	return nil
}

// classNames returns the names of the request classes, in the settings' order.
func (t *transportSettings) classNames() []string { return settingNames(t.Classes) }

// tenantNames returns the names of the tenants, in the settings' order.
func (t *transportSettings) tenantNames() []string { return settingNames(t.Tenants) }

// settingNames returns the names of classes or tenants.
func settingNames(settings []namedSetting) (names []string) {
	for _, s := range settings {
		names = append(names, s.Name)
	}
	return names
}

// setDefault replaces a value that is absent, zero or negative with defaultValue.
func setDefault[T int | float64](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// milliseconds converts a setting in milliseconds to a duration. It drops fractions of a nanosecond.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
