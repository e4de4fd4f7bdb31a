package ipfix

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/BurntSushi/toml"
)

// errUnknownSetting is wrapped with the setting's name.
var errUnknownSetting = errors.New("unknown setting")

// Config is what the export file sets (deploy/ipfix.toml).
type Config struct {
	Enabled   bool   `toml:"enabled"`
	Collector string `toml:"collector"`          // IP:PORT, of UDP
	Domain    uint32 `toml:"observation_domain"` // the Observation Domain ID, RFC 7011 section 3.1; 0: not specific
}

// ReadConfig reads and checks the export file at path. The collector's address is checked only if the export is enabled.
// Errors name the file; that of a file that can't be read wraps the error of package fs.
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

// parseConfig parses and checks the text of an export file.
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
		return nil, err
	}
	return c, nil
}
