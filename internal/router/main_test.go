package router

import (
	"testing"

	"functionrouter/internal/standin"
)

func TestMain(m *testing.M) { standin.Main(m) }
