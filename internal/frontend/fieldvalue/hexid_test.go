package fieldvalue

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against an ID that is parsed as another number, and against a second spelling that is accepted for a number.
func TestParseHexID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Uint64().Draw(t, "n")
		if got, ok := ParseHexID(fmt.Sprintf("%016x", n)); !ok || got != n {
			t.Fatalf("ParseHexID(%016x) = %x, %v; want the same number and true", n, got, ok)
		}
		text := rapid.StringN(0, 20, 20).Draw(t, "text")
		if got, ok := ParseHexID(text); ok && fmt.Sprintf("%016x", got) != text {
			t.Fatalf("ParseHexID(%q) = %x, true; the text is not the 16-digit form of that number", text, got)
		}
	})
}
