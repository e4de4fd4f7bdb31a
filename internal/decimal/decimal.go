// Package decimal parses the numbers that peers send as text.
package decimal

import (
	"errors"
	"strconv"
)

// ErrSyntax means that a text is not a number in decimal notation.
var ErrSyntax = errors.New("not a decimal number")

// Parse returns the finite number that text gives in decimal notation: an optional sign, digits with an optional fraction,
// and an optional exponent. It accepts none of the other notations of strconv.ParseFloat, such as hexadecimal
// digits, underscores, infinity or NaN. It fails with ErrSyntax, or with an error of strconv if the number is out of
// range.
func Parse(text string) (float64, error) {
	for i := range len(text) {
		if !isDecimalByte(text[i]) {
			return 0, ErrSyntax
		}
	}
	return strconv.ParseFloat(text, 64)
}

// isDecimalByte reports whether b may occur in a number in decimal notation.
func isDecimalByte(b byte) bool {
	switch b {
	case '-', '+', '.', 'e', 'E':
		return true
	}
	return b >= '0' && b <= '9'
}
