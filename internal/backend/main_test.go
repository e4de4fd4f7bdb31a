package backend

import (
	"testing"

	"functionrouter/internal/testsupport"
)

// TestMain fixes the seed of the property tests, so that every run has the same result, and discards the log, to which
// the property tests write many lines. A test that checks log lines uses captureLog.
func TestMain(m *testing.M) {
	testsupport.DiscardLog()
	testsupport.RunWithFixedSeeds(m)
}
