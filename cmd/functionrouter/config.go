package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"time"

	"functionrouter/internal/discovery"
	"functionrouter/internal/simwire"
	"functionrouter/policy"
)

// Defaults of settings that are absent or not above zero. The platform always gives them; those of the transport are
// of the size that the platform gives, those of the process are its largest limits on scored days.
const (
	defaultDialTimeoutMs        = 250
	defaultKeepaliveMs          = 30_000
	defaultMaxOpenRequests      = 20_000
	defaultStreamsPerConnection = 32
	defaultMemoryMB             = 192
	defaultSockets              = 1024
)

// The least limits that are accepted: the shares in limits.go are tested down to these. Below them the Go runtime and
// the descriptors of the process itself would leave next to nothing.
const (
	minMemoryMB = 32
	minSockets  = 64
)

var (
	errNoConfigFile = errors.New("names no file")
	errNoClassName  = errors.New("has no name")
	errLimitsTooLow = errors.New("too little memory or too few sockets")
)

// ConfigError reports a configuration that can't be used.
type ConfigError struct {
	Path  string // of the file; empty if none is named
	Field string // the key or the environment variable that is at fault; empty if Err names it or the whole file is
	Err   error  // the cause
}

func (e *ConfigError) Error() string {
	text := "config"
	if e.Path != "" {
		text += " " + e.Path
	}
	if e.Field != "" {
		text += ": " + e.Field
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *ConfigError) Unwrap() error { return e.Err }

// config is what the platform tells a function router. Its keys are the platform's.
type config struct {
	Name             string                     `json:"name"`
	Listen           string                     `json:"listen"`
	Seed             string                     `json:"seed"` // 16 hex digits
	Limits           processLimits              `json:"limits"`
	DirectoryAddress string                     `json:"names"`
	InitialEndpoints discovery.InitialEndpoints `json:"known"`
	Settings         json.RawMessage            `json:"settings"`

	seed      uint64            // parsed from Seed
	policy    policy.Config     // the part of Settings that decisions depend on
	transport transportSettings // the part of Settings that connections depend on
}

// processLimits is what the process may use.
type processLimits struct {
	MemoryMB int `json:"memory_mb"` // MiB
	Sockets  int `json:"sockets"`   // file descriptors
}

// transportSettings is what the connections need of the settings and the policy does not.
type transportSettings struct {
	FailureDomains []string        `json:"failureDomains"` // the zones
	Classes        []namedSetting  `json:"classes"`
	Tenants        []namedSetting  `json:"accounts"`
	Limits         transportLimits `json:"limits"`
}

// namedSetting is a class or a tenant, of which connections need the name alone.
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

// readConfig reads and checks the file that EDGE_CONFIG names. Its errors are of type *ConfigError.
func readConfig(getenv func(string) string) (*config, error) {
	path := getenv(configVariable)
	if path == "" {
		return nil, &ConfigError{Field: configVariable, Err: errNoConfigFile}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConfigError{Path: path, Err: err}
	}
	c, field, err := parseConfig(text, getenv)
	if err != nil {
		return nil, &ConfigError{Path: path, Field: field, Err: err}
	}
	return c, nil
}

// parseConfig parses and checks the text of a file. With an error it returns the field that is at fault.
func parseConfig(text []byte, getenv func(string) string) (c *config, field string, err error) {
	c = &config{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, "", err
	}
	if name := getenv(nameVariable); name != "" {
		c.Name = name
	}
	if listen := getenv(listenVariable); listen != "" {
		c.Listen = listen
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return nil, "listen", err
	}
	if _, err := netip.ParseAddrPort(c.DirectoryAddress); err != nil {
		return nil, "names", err
	}
	if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return nil, "seed", err
	}
	if c.policy, err = simwire.ParseSettings(c.Settings); err != nil {
		return nil, "", err // it names the key
	}
	if err := c.transport.parse(c.Settings); err != nil {
		return nil, "settings", err
	}
	setDefault(&c.Limits.MemoryMB, defaultMemoryMB)
	setDefault(&c.Limits.Sockets, defaultSockets)
	if c.Limits.MemoryMB < minMemoryMB || c.Limits.Sockets < minSockets {
		return nil, "limits", errLimitsTooLow
	}
	return c, "", nil
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

// needsRestart names the keys that fresh changes and that a reload does not apply. The seed and the initial endpoints
// are left out: they matter only when the process starts.
func (c *config) needsRestart(fresh *config) (changed []string) {
	if c.Name != fresh.Name {
		changed = append(changed, "name")
	}
	if c.Listen != fresh.Listen {
		changed = append(changed, "listen")
	}
	if c.Limits != fresh.Limits {
		changed = append(changed, "limits")
	}
	if !reflect.DeepEqual(c.policy, fresh.policy) || !reflect.DeepEqual(c.transport, fresh.transport) {
		changed = append(changed, "settings")
	}
	return changed
}

// classNames returns the names of the request classes, in the settings' order.
func (t *transportSettings) classNames() []string { return settingNames(t.Classes) }

// tenantNames returns the names of the tenants, in the settings' order.
func (t *transportSettings) tenantNames() []string { return settingNames(t.Tenants) }

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
