package webhook

import (
	"testing"

	"functionrouter/internal/testsupport"
)

// TestMain fixes the seed of the property tests, so that each run has the same result.
func TestMain(m *testing.M) {
	testsupport.RunWithFixedSeeds(m)
}
