package main

import (
	"fmt"
	"strings"
	"testing"
)

// deployedPrefix is the prefix of the variables that deployed environments set. The test repeats the value so that it
// detects a change of deprecatedVariablePrefix.
const deployedPrefix = "CRANKHOLD_"

// deprecatedNames maps each operator variable to its deprecated name, which deployed environments may set.
var deprecatedNames = map[string]string{
	webhookVariable:    deployedPrefix + "WEBHOOK",
	flowExportVariable: deployedPrefix + "IPFIX",
}

// Checks that the router reads an operator variable under its deprecated name, and logs a warning, only if the new name
// is unset or empty.
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
				name:        "deprecated name and empty new name",
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
					t.Errorf("logged %q, want a line that ends in %q (empty: no line)", logged, test.logged)
				}
			})
		}
	}
}

// Checks that extensionFile reads the process's environment and accepts the new and the deprecated name of each
// variable.
func TestExtensionFileFromEnvironment(t *testing.T) {
	for variable, deprecated := range deprecatedNames {
		t.Run(variable, func(t *testing.T) {
			const defaultFile = "testdata/no-such-file.toml"
			t.Setenv(variable, "")
			t.Setenv(deprecated, "")
			if got := extensionFile(variable, defaultFile); got != "" {
				t.Errorf("the file without any variable is %q, want none", got)
			}
			t.Setenv(deprecated, "old.toml")
			if got := extensionFile(variable, defaultFile); got != "old.toml" {
				t.Errorf("the file from the deprecated variable is %q, want old.toml", got)
			}
			t.Setenv(variable, "new.toml")
			if got := extensionFile(variable, defaultFile); got != "new.toml" {
				t.Errorf("the file with both variables set is %q, want new.toml", got)
			}
		})
	}
}
