package decimal

import "testing"

// Guards against numbers from peers in notations that no protocol page allows, and against infinity and NaN, which
// would make every estimate useless that they are averaged into.
func TestParse(t *testing.T) {
	for text, want := range map[string]float64{"0": 0, "1500": 1500, "0.61": 0.61, "-2.5": -2.5, "1.5e3": 1500, "1e-05": 0.00001} {
		if got, err := Parse(text); err != nil || got != want {
			t.Errorf("Parse(%q) = %v, %v, want %v", text, got, err, want)
		}
	}
	for _, text := range []string{"", "many", "inf", "-Inf", "NaN", "0x10", "0x1p4", "1_000", " 1", "1e999", "1;2", "-", "e"} {
		if got, err := Parse(text); err == nil {
			t.Errorf("Parse(%q) = %v, want an error", text, got)
		}
	}
}
