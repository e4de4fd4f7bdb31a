package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:10080","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "names":"127.0.0.1:1053","known":{"offset":3,"batch":[{"offset":3,"topology":{"complete":true,"members":[]}}]},
 "settings":{"classes":[{"name":"repair-order","deadlineMs":3000,"goalTimeMs":1200,"semantics":"unsafe","group":"all"}]}}`

// writeAndReadConfig writes a configuration to a file at path and reads it, with the router name n4 in the environment.
func writeAndReadConfig(path, text string) (*config, error) {
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return readConfig(func(name string) string {
		return map[string]string{configVariable: path, nameVariable: "n4"}[name]
	})
}

// readModifiedConfig reads validConfig with one replacement.
func readModifiedConfig(t *testing.T, replaced, replacement string) (*config, error) {
	t.Helper()
	if !strings.Contains(validConfig, replaced) {
		t.Fatalf("the configuration does not contain %q", replaced)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	return writeAndReadConfig(path, strings.Replace(validConfig, replaced, replacement, 1))
}

func TestReadConfig(t *testing.T) {
	c, err := readModifiedConfig(t, "", "")
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n4" || c.seed != 0x8c1f30d27a5be964 || c.InitialEndpoints.Offset != 3 ||
		c.transport.Classes[0].Name != "repair-order" || c.transport.Limits.StreamsPerConnection != 32 {
		t.Errorf("read %+v, want the name n4, the seed 8c1f30d27a5be964, the offset 3, the class repair-order and "+
			"32 streams per connection", c)
	}
}

func TestReadConfigErrors(t *testing.T) {
	for _, test := range []struct {
		name        string
		replaced    string
		replacement string
		field       string
	}{
		{"listen", `"listen":"127.0.0.1:10080"`, `"listen":"nowhere"`, "listen"},
		{"directory", `"names":"127.0.0.1:1053"`, `"names":""`, "names"},
		{"seed", `"8c1f30d27a5be964"`, `"seed"`, "seed"},
		{"semantics", `"unsafe"`, `"maybe"`, ""}, // the cause names the key
		{"class name", `"name":"repair-order",`, ``, "settings"},
		{"limits", `"sockets":1024`, `"sockets":3`, "limits"},
		{"type", `{"name":"n3"`, `{"name":3`, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := readModifiedConfig(t, test.replaced, test.replacement)
			var configErr *ConfigError
			if !errors.As(err, &configErr) || configErr.Field != test.field || configErr.Path == "" {
				t.Fatalf("error %#v, want a *ConfigError with the field %q and a path", err, test.field)
			}
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("the error has more than one line: %q", err)
			}
		})
	}
}

func TestReadConfigWithoutFile(t *testing.T) {
	if _, err := readConfig(func(string) string { return "" }); !errors.Is(err, errNoConfigFile) {
		t.Errorf("without a file name: %v, want %v", err, errNoConfigFile)
	}
	absent := filepath.Join(t.TempDir(), "config.json")
	if _, err := readConfig(func(string) string { return absent }); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("with an absent file: %v, want %v", err, fs.ErrNotExist)
	}
}

// Checks that a reload reports each changed key that it does not apply, so that an operator learns that the change
// needs a restart.
func TestChangesNeedingRestart(t *testing.T) {
	c, err := readModifiedConfig(t, "", "")
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name        string
		replaced    string
		replacement string
		want        string
	}{
		{"directory", "127.0.0.1:1053", "127.0.0.2:1053", "[]"},
		{"seed", `"8c1f30d27a5be964"`, `"1"`, "[]"},
		{"listen", "127.0.0.1:10080", "127.0.0.2:10080", "[listen]"},
		{"limits", `"sockets":1024`, `"sockets":512`, "[limits]"},
		{"settings", `"deadlineMs":3000`, `"deadlineMs":2000`, "[settings]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			updated, err := readModifiedConfig(t, test.replaced, test.replacement)
			if err != nil {
				t.Fatal(err)
			}
			if got := fmt.Sprint(c.changesNeedingRestart(updated)); got != test.want {
				t.Errorf("with %s, a restart is needed for the keys %s, want %s", test.replacement, got, test.want)
			}
		})
	}
}
