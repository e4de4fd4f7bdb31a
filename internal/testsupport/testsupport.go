// Package testsupport holds what the tests of several packages share. Only tests may import it: .ci/run checks that no
// program does.
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

// propertySeed is the seed of all property tests, for package rapid. Any number serves; another one plays other events.
const propertySeed = "20261201"

// RunWithFixedSeeds is the body of a TestMain. It runs the tests and exits with their status. It fixes the seed of the
// property tests, so that each run gives the same verdict, over a seed on the command line too, and keeps rapid from
// writing files of failed runs into the repository.
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

// DiscardLog makes the default logger drop every line until the process ends, for a TestMain whose tests would fill the
// output.
func DiscardLog() { slog.SetDefault(slog.New(slog.DiscardHandler)) }

// CaptureLog returns what the default logger writes until the test ends, as text. Package log, which the default logger
// takes over, is restored then too. Only the test's goroutine may log meanwhile.
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
