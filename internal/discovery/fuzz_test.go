package discovery

import "testing"

// Whatever the directory sends, parseResponse reads or rejects it, and what it reads can be applied.
func FuzzParseResponse(f *testing.F) {
	f.Add(encodeQuery(7))
	f.Fuzz(func(t *testing.T, message []byte) {
		if _, r, err := parseResponse(message); err == nil {
			list := newEndpointList()
			_, _ = list.update(r) // an unusable list is an error, and never a panic
		}
	})
}
