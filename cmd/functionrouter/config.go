package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"functionrouter/internal/discovery"
	"functionrouter/internal/simwire"
	"functionrouter/policy"
)

// Defaults for limits that are absent, zero or negative. The platform always sets these limits; the defaults are the
// largest values that it is known to set.
const (
	defaultMemoryMB = 192  // MiB
	defaultSockets  = 1024 // file descriptors
)

// Minimum limits that a configuration may set. The shares in limits.go are tested down to these values. Below them, the
// Go runtime and the process's own descriptors would leave almost nothing for requests.
const (
	minMemoryMB = 32 // MiB
	minSockets  = 64 // file descriptors
)

var (
	errNoConfigFile = errors.New("environment variable is not set")
	errNoClassName  = errors.New("name is missing")
	errLimitsTooLow = errors.New("limit is below the minimum")
)

// ConfigError reports a configuration that can't be used.
type ConfigError struct {
	Path  string // path of the configuration file; empty if EDGE_CONFIG is not set
	Field string // invalid key or environment variable; empty if Err names it or if the whole file is invalid
	Err   error  // the cause
}

// Error returns the path, the field and the cause in one line. It omits the path or the field if it is empty.
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

// config is the configuration that the platform provides for a router. The platform defines its JSON keys; unknown keys
// are ignored. A config does not change after parseConfig has returned it.
type config struct {
	Name             string                     `json:"name"`   // name of the router, used only in the log
	Listen           string                     `json:"listen"` // IP address and port for Thrift clients
	Seed             string                     `json:"seed"`   // hexadecimal number of at most 64 bits
	Limits           processLimits              `json:"limits"`
	DirectoryAddress string                     `json:"names"` // IP address and port
	InitialEndpoints discovery.InitialEndpoints `json:"known"`
	Settings         json.RawMessage            `json:"settings"`

	seed uint64 // parsed from Seed

	// The settings of the policy and those of the connections, both parsed from Settings. Both list the classes and the
	// tenants in the order of Settings, so that an index refers to the same class or tenant in both.
	policy    policy.Config
	transport transportSettings
}

// processLimits holds the resource limits of the process.
type processLimits struct {
	MemoryMB int `json:"memory_mb"` // MiB
	Sockets  int `json:"sockets"`   // file descriptors
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
	return parseConfig(path, text, getenv)
}

// parseConfig parses and checks the text of the file at path, and returns the first error that it finds, of type
// *ConfigError. It parses the settings of the policy but does not check them: only policy.New does, so a reload does
// not check them.
func parseConfig(path string, text []byte, getenv func(string) string) (*config, error) {
	configError := func(field string, err error) (*config, error) {
		return nil, &ConfigError{Path: path, Field: field, Err: err}
	}
	c := &config{}
	if err := json.Unmarshal(text, c); err != nil {
		return configError("", err)
	}
	c.applyEnvironment(getenv)
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return configError("listen", fmt.Errorf("address %q: %w", c.Listen, err))
	}
	if _, err := netip.ParseAddrPort(c.DirectoryAddress); err != nil {
		return configError("names", fmt.Errorf("address %q: %w", c.DirectoryAddress, err))
	}
	var err error
	if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return configError("seed", err)
	}
	if c.policy, err = simwire.ParseSettings(c.Settings); err != nil {
		return configError("", err) // the error names the key
	}
	if err := c.transport.parse(c.Settings); err != nil {
		return configError("settings", err)
	}
	setDefault(&c.Limits.MemoryMB, defaultMemoryMB)
	setDefault(&c.Limits.Sockets, defaultSockets)
	if c.Limits.MemoryMB < minMemoryMB || c.Limits.Sockets < minSockets {
		return configError("limits", fmt.Errorf("%w: memory_mb is %d (minimum %d), sockets is %d (minimum %d)",
			errLimitsTooLow, c.Limits.MemoryMB, minMemoryMB, c.Limits.Sockets, minSockets))
	}
	return c, nil
}

// applyEnvironment overrides the name and the listen address with the environment variables that are set.
func (c *config) applyEnvironment(getenv func(string) string) {
	if name := getenv(nameVariable); name != "" {
		c.Name = name
	}
	if listen := getenv(listenVariable); listen != "" {
		c.Listen = listen
	}
}
