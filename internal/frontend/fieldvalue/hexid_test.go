package fieldvalue

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestParseHexID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Uint64().Draw(t, "n")
		if got, ok := ParseHexID(fmt.Sprintf("%016x", n)); !ok || got != n {
			t.Fatalf("read %x, %v", got, ok)
		}
		text := rapid.StringN(0, 20, 20).Draw(t, "text")
		if got, ok := ParseHexID(text); ok && fmt.Sprintf("%016x", got) != text {
			t.Fatalf("read %q as %x", text, got)
		}
	})
}
