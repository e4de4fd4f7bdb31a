package fieldvalue

import (
	"testing"

	"functionrouter/internal/testsupport"
)

// TestMain fixes the seed of the property tests, so that every run tests the same cases.
func TestMain(m *testing.M) {
	testsupport.RunWithFixedSeeds(m)
}
