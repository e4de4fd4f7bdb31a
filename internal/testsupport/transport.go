package testsupport

import "bytes"

// Transport is a fake connection to a peer, for tests of code that writes to an eventloop.Conn or eventloop.UDPConn. It
// records all written data, even after it is closed, and calls no handler. Its zero value is an open connection. It is
// not safe for concurrent use.
type Transport struct {
	Written bytes.Buffer // data passed to Write
	Closed  bool         // set by Close and CloseAfterFlush
}

// Write appends bufs to Written.
func (t *Transport) Write(bufs ...[]byte) {
	for _, b := range bufs {
		t.Written.Write(b)
	}
}

// Close sets Closed.
func (t *Transport) Close() { t.Closed = true }

// CloseAfterFlush sets Closed.
func (t *Transport) CloseAfterFlush() { t.Closed = true }
