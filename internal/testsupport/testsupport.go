// Package testsupport holds helpers that the tests of several packages share. Only tests may import it: .ci/run checks
// that no program does.
package testsupport

import (
	"bytes"
	"flag"
	"fmt"
	"log"
	"log/slog"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flags that RunWithFixedSeeds sets
)

// propertySeed is the seed that package rapid uses for all property tests. Any number works; a different seed generates
// different test cases.
const propertySeed = "20261201"

// RunWithFixedSeeds is the body of a TestMain. It runs the tests and exits with their status. It sets a fixed seed for
// the property tests, so that every run has the same result, and overrides a seed from the command line. It also stops
// rapid from writing files of failed runs into the repository.
func RunWithFixedSeeds(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": propertySeed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

// DiscardLog makes the default logger discard every line until the process ends. A TestMain calls it if the log lines
// of its tests would fill the test output.
func DiscardLog() { slog.SetDefault(slog.New(slog.DiscardHandler)) }

// CaptureLog redirects the default logger to the returned buffer, as text, until the test ends. It then restores the
// default logger and the output and flags of package log, which slog.SetDefault also changes. Until then, only the
// test's goroutine may log.
func CaptureLog(tb testing.TB) *bytes.Buffer {
	tb.Helper()
	previous := slog.Default()
	previousOutput := log.Writer()
	previousFlags := log.Flags()
	tb.Cleanup(func() {
		slog.SetDefault(previous)
		log.SetOutput(previousOutput)
		log.SetFlags(previousFlags)
	})
	lines := &bytes.Buffer{}
	slog.SetDefault(slog.New(slog.NewTextHandler(lines, nil)))
	return lines
}
