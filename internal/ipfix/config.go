package ipfix

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/BurntSushi/toml"
)

// Config is what the export file sets.
type Config struct {
	Enabled   bool   `toml:"enabled"`
	Collector string `toml:"collector"`          // IP address and UDP port
	Domain    uint32 `toml:"observation_domain"` // the Observation Domain ID, RFC 7011 section 3.1
}

// ReadConfig reads and checks the export file at path. The collector's address is checked only where the export is
// enabled. A file that can't be read wraps the error of package fs.
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

func parseConfig(text string) (*Config, error) {
	c := &Config{}
	meta, err := toml.Decode(text, c)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("unknown setting %s", unknown[0])
	}
	if !c.Enabled {
		return c, nil
	}
	if _, err := netip.ParseAddrPort(c.Collector); err != nil {
		return nil, err
	}
	return c, nil
}
