package ipfix

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/BurntSushi/toml"
)

// errUnknownSetting is wrapped in an error that names the setting.
var errUnknownSetting = errors.New("unknown setting")

// Config holds the settings of the export file (deploy/ipfix.toml).
type Config struct {
	Enabled   bool   `toml:"enabled"`
	Collector string `toml:"collector"`          // UDP address as IP:PORT
	Domain    uint32 `toml:"observation_domain"` // Observation Domain ID, RFC 7011 section 3.1; 0: no specific one
}

// ReadConfig reads and validates the export file at path. It validates the collector's address only if the export is
// enabled. Errors name the file. If the file can't be read, the error wraps that of package os, so errors.Is matches
// fs.ErrNotExist.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("export file: %w", err)
	}
	c, err := parseConfig(string(text))
	if err != nil {
		return nil, fmt.Errorf("export file %s: %w", path, err)
	}
	return c, nil
}

// parseConfig parses and validates the text of an export file.
func parseConfig(text string) (*Config, error) {
	c := &Config{}
	metadata, err := toml.Decode(text, c)
	if err != nil {
		return nil, err
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%w %s", errUnknownSetting, unknown[0])
	}
	if !c.Enabled {
		return c, nil
	}
	if _, err := netip.ParseAddrPort(c.Collector); err != nil {
		return nil, fmt.Errorf("collector %q: %w", c.Collector, err)
	}
	return c, nil
}
