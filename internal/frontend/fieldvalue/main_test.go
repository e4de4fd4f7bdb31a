package fieldvalue

import (
	"testing"

	"functionrouter/internal/testsupport"
)

// TestMain fixes the seed of the property tests, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	testsupport.RunWithFixedSeeds(m)
}
