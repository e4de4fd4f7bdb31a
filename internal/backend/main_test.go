package backend

import (
	"flag"
	"fmt"
	"log/slog"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run gives the same verdict, and discards the log, which
// they fill. A test that checks log lines uses captureLog.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}
