package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// Defaults of settings that are absent or not above zero. The platform always gives them; the defaults are of the size
// that it gives.
const (
	defaultDialTimeoutMs        = 250    // milliseconds
	defaultIdleTimeoutMs        = 30_000 // milliseconds
	defaultMaxOpenRequests      = 20_000
	defaultStreamsPerConnection = 32
)

// transportSettings is the part of the settings that is of use outside of the policy: to frontends, connections and the
// endpoint list. The policy knows zones, classes and tenants by their positions alone.
type transportSettings struct {
	FailureDomains []string        `json:"failureDomains"` // names of the zones
	Classes        []namedSetting  `json:"classes"`
	Tenants        []namedSetting  `json:"accounts"`
	Limits         transportLimits `json:"limits"`
}

// namedSetting is a class or a tenant, of which only the name is read here.
type namedSetting struct {
	Name string `json:"name"`
}

// transportLimits bounds connections to workers and open requests.
type transportLimits struct {
	DialTimeoutMs float64 `json:"dialTimeoutMs"` // of a dial to a worker, in milliseconds
	// IdleTimeoutMs is after how many milliseconds the workers close an idle connection. The pool closes it earlier.
	IdleTimeoutMs        float64 `json:"keepaliveMs"`
	MaxOpenRequests      int     `json:"maxOpen"`        // may be less: see config.maxOpenRequests
	StreamsPerConnection int     `json:"streamsPerConn"` // attempts in flight on one connection to a worker
}

// parse reads the settings and sets the defaults. It fails if the JSON has another form or a class has no name; t is not
// to be used then.
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

// setDefault replaces a value that is absent or not above zero.
func setDefault[T int | float64](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// milliseconds converts a setting that is given in milliseconds. It drops fractions of a nanosecond.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
