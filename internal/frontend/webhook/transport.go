package webhook

// Transport is a connection to a peer. An *eventloop.Conn is one. None of its methods calls the connection's handler
// before it returns, other than HasOpenRequests.
type Transport interface {
	// Write queues bufs for sending, one after the other. Neither the caller nor the Transport changes their bytes
	// afterwards; the caller may write them again, also to another Transport.
	Write(bufs ...[]byte)
	// Close closes the connection at once and drops what has not been sent. A second call does nothing.
	Close()
	// CloseAfterFlush closes the connection when everything written has been sent. Nothing more is received, and later
	// writes are dropped.
	CloseAfterFlush()
}
