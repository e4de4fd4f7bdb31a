package testsupport

import "bytes"

// FakeTransport stands for a socket: it records what is written to it and whether it was closed. It calls no handler; a
// test that plays the peer does. The zero value is open and ready to use.
type FakeTransport struct {
	// Written holds the concatenation of all that was written. A test may reset it or read from it.
	Written bytes.Buffer
	// Closed reports that Close was called.
	Closed bool
}

// Write records the concatenation of bufs.
func (f *FakeTransport) Write(bufs ...[]byte) {
	for _, b := range bufs {
		f.Written.Write(b)
	}
}

// Close records the close. The handler's OnClose is the test's to call.
func (f *FakeTransport) Close() { f.Closed = true }
