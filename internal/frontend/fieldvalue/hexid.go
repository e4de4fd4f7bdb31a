package fieldvalue

// hexIDLength is the number of hexadecimal digits of an ID on the wire, which is a 64-bit number.
const hexIDLength = 16

// ParseHexID parses a request ID or a function key: 16 lower-case hexadecimal digits. It returns false for any other
// spelling of the same number, because workers compare IDs as text and load commands name functions in this form.
func ParseHexID(s string) (id uint64, ok bool) {
	if len(s) != hexIDLength {
		return 0, false
	}
	for _, c := range []byte(s) {
		digit, ok := hexDigit(c)
		if !ok {
			return 0, false
		}
		id = id<<4 | uint64(digit)
	}
	return id, true
}

// hexDigit returns the value of a lower-case hexadecimal digit. It returns false for any other character.
func hexDigit(c byte) (value byte, ok bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10, true
	default:
		return 0, false
	}
}
