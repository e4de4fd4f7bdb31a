package ipfix

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestReadConfig(t *testing.T) {
	for _, test := range []struct {
		name        string
		text        string
		want        Config
		wantError   string // substring of the error's text
		wantWrapped error  // checked with errors.Is if not nil
	}{
		{
			"all settings", "enabled = true\ncollector = \"127.0.0.1:4739\"\nobservation_domain = 9",
			Config{Enabled: true, Collector: "127.0.0.1:4739", Domain: 9},
			"", nil,
		},
		{"empty", "", Config{}, "", nil},
		{"disabled, with an invalid address", "collector = \"nowhere\"", Config{Collector: "nowhere"}, "", nil},
		{"enabled, without an address", "enabled = true", Config{}, "not an ip:port", nil},
		{"enabled, with a host name", "enabled = true\ncollector = \"localhost:4739\"", Config{}, "localhost", nil},
		{"unknown setting", "port = 4739", Config{}, "unknown setting port", errUnknownSetting},
		{"not TOML", "enabled", Config{}, "toml", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "ipfix.toml")
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			got, err := ReadConfig(path)
			switch {
			case test.wantError == "" && (err != nil || *got != test.want):
				t.Errorf("got %+v, %v; want %+v", got, err, test.want)
			case test.wantError != "" && (err == nil || !strings.Contains(err.Error(), test.wantError)):
				t.Errorf("got error %v, want %q", err, test.wantError)
			case test.wantWrapped != nil && !errors.Is(err, test.wantWrapped):
				t.Errorf("got error %v, want it to wrap %v", err, test.wantWrapped)
			}
		})
	}
	t.Run("no file", func(t *testing.T) {
		if _, err := ReadConfig(filepath.Join(t.TempDir(), "none.toml")); !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("got error %v, want it to wrap %v", err, fs.ErrNotExist)
		}
	})
}
