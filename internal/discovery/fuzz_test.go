package discovery

import "testing"

// No message from the directory may cause a panic in parseResponse or, if it can be parsed, in the update of the list.
func FuzzParseResponse(f *testing.F) {
	f.Add(encodeQuery(7))
	f.Fuzz(func(t *testing.T, message []byte) {
		if _, r, err := parseResponse(message); err == nil {
			list := newEndpointList()
			_, _ = list.update(r) // an unusable list is an error, not a panic
		}
	})
}
