package main

import (
	"fmt"
	"strings"
	"testing"
)

// deployedPrefix begins the names that deployed environments set. It stands here a second time, so that a slip in the
// program's own constant is found.
const deployedPrefix = "CRANKHOLD_"

// deprecatedNames are the variables that deployed environments may set, each by the name that replaced it.
var deprecatedNames = map[string]string{
	webhookVariable:    deployedPrefix + "WEBHOOK",
	flowExportVariable: deployedPrefix + "IPFIX",
}

// Each variable of the operators is also read by its deprecated name, with a line in the log, where the new one is not
// set.
func TestOperatorVariable(t *testing.T) {
	for variable, deprecated := range deprecatedNames {
		line := fmt.Sprintf(`level=WARN msg="deprecated environment variable" variable=%s use_instead=%s`, deprecated, variable)
		for _, test := range []struct {
			name        string
			environment map[string]string
			want        string
			logged      string
		}{
			{name: "neither"},
			{name: "new name", environment: map[string]string{variable: "new.toml"}, want: "new.toml"},
			{name: "deprecated name", environment: map[string]string{deprecated: "old.toml"}, want: "old.toml", logged: line},
			{
				name:        "both",
				environment: map[string]string{variable: "new.toml", deprecated: "old.toml"},
				want:        "new.toml",
			},
			{
				name:        "deprecated name beside an empty new one",
				environment: map[string]string{variable: "", deprecated: "old.toml"},
				want:        "old.toml",
				logged:      line,
			},
		} {
			t.Run(variable+"/"+test.name, func(t *testing.T) {
				log := newLogCapture()
				log.install(t)
				getenv := func(name string) string { return test.environment[name] }
				if got := operatorVariable(getenv, variable); got != test.want {
					t.Errorf("read %q, want %q", got, test.want)
				}
				logged := strings.TrimSuffix(log.text.String(), "\n")
				if !strings.HasSuffix(logged, test.logged) || test.logged == "" && logged != "" {
					t.Errorf("logged %q, want %q", logged, test.logged)
				}
			})
		}
	}
}

// An extension reads the file that either of its variables names; the process's own environment counts.
func TestExtensionFileFromEnvironment(t *testing.T) {
	for variable, deprecated := range deprecatedNames {
		t.Run(variable, func(t *testing.T) {
			const defaultFile = "testdata/no-such-file.toml"
			t.Setenv(variable, "")
			t.Setenv(deprecated, "")
			if got := extensionFile(variable, defaultFile); got != "" {
				t.Errorf("the file without any variable is %q", got)
			}
			t.Setenv(deprecated, "old.toml")
			if got := extensionFile(variable, defaultFile); got != "old.toml" {
				t.Errorf("the file by the deprecated variable is %q", got)
			}
			t.Setenv(variable, "new.toml")
			if got := extensionFile(variable, defaultFile); got != "new.toml" {
				t.Errorf("the file by both variables is %q", got)
			}
		})
	}
}
