package backend

import (
	"testing"

	"functionrouter/internal/testsupport"
)

// TestMain fixes the seed of the property tests, so that each run gives the same verdict, and discards the log, which
// they fill. A test that checks log lines uses captureLog.
func TestMain(m *testing.M) {
	testsupport.DiscardLog()
	testsupport.RunWithFixedSeeds(m)
}
