package main

import (
	"encoding/json"
	"errors"
	"net/netip"
	"os"
	"strconv"

	"functionrouter/internal/discovery"
	"functionrouter/internal/simwire"
	"functionrouter/policy"
)

// Defaults of limits that are absent or not above zero. The platform always gives them; the defaults are the largest that
// it is known to give.
const (
	defaultMemoryMB = 192  // MiB
	defaultSockets  = 1024 // file descriptors
)

// The least limits that are accepted: the shares in limits.go are tested down to these. Below them the Go runtime and
// the descriptors of the process itself would leave almost nothing for requests.
const (
	minMemoryMB = 32 // MiB
	minSockets  = 64 // file descriptors
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

// Error names the file, the field and the cause, as far as they are known.
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

// config is the configuration that the platform gives a router. Its keys are the platform's; others are ignored. It does
// not change once parseConfig has returned it.
type config struct {
	Name             string                     `json:"name"`   // of the router, for the log alone
	Listen           string                     `json:"listen"` // IP address and port for Thrift clients
	Seed             string                     `json:"seed"`   // hexadecimal, of 64 bits at most
	Limits           processLimits              `json:"limits"`
	DirectoryAddress string                     `json:"names"` // IP address and port
	InitialEndpoints discovery.InitialEndpoints `json:"known"`
	Settings         json.RawMessage            `json:"settings"`

	seed uint64 // parsed from Seed

	// What decisions and what connections depend on, both parsed from Settings. Their classes and tenants are those of
	// the settings, in the same order: the index of a class or tenant is the same in both.
	policy    policy.Config
	transport transportSettings
}

// processLimits is what the process may use.
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

// parseConfig parses and checks the text of the file at path, and reports the first fault that it finds. The policy's part
// of the settings is parsed but checked by policy.New alone, so that a reload does not check it. Its errors are of type
// *ConfigError.
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
		return configError("listen", err)
	}
	if _, err := netip.ParseAddrPort(c.DirectoryAddress); err != nil {
		return configError("names", err)
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
		return configError("limits", errLimitsTooLow)
	}
	return c, nil
}

// applyEnvironment replaces the name and the address by those of the environment, where it sets them.
func (c *config) applyEnvironment(getenv func(string) string) {
	if name := getenv(nameVariable); name != "" {
		c.Name = name
	}
	if listen := getenv(listenVariable); listen != "" {
		c.Listen = listen
	}
}
