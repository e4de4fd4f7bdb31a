package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// Defaults of settings that are absent or not above zero. The platform always gives them; the defaults are of the size
// that it gives.
const (
	defaultDialTimeoutMs        = 250
	defaultKeepaliveMs          = 30_000
	defaultMaxOpenRequests      = 20_000
	defaultStreamsPerConnection = 32
)

// transportSettings is what the connections need of the settings and the policy does not.
type transportSettings struct {
	FailureDomains []string        `json:"failureDomains"` // names of the zones
	Classes        []namedSetting  `json:"classes"`
	Tenants        []namedSetting  `json:"accounts"`
	Limits         transportLimits `json:"limits"`
}

// namedSetting is a class or a tenant. Connections need only its name.
type namedSetting struct {
	Name string `json:"name"`
}

// transportLimits bounds the connections.
type transportLimits struct {
	DialTimeoutMs        float64 `json:"dialTimeoutMs"`
	KeepaliveMs          float64 `json:"keepaliveMs"` // idle connections to workers are closed after this
	MaxOpenRequests      int     `json:"maxOpen"`
	StreamsPerConnection int     `json:"streamsPerConn"`
}

// parse reads the part of the settings that connections depend on.
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
	setDefault(&t.Limits.KeepaliveMs, defaultKeepaliveMs)
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
func setDefault[T int | float64](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// milliseconds converts a setting that is given in milliseconds.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
