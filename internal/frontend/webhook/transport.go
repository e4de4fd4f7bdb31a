package webhook

// Transport is a connection to a peer. *eventloop.Conn implements it. Before they return, its methods may call only one
// method of the connection's handler: HasOpenRequests.
type Transport interface {
	// Write queues bufs for sending, one after the other. Neither the caller nor the Transport may modify their bytes
	// afterwards. The caller may write the same buffers again, also to another Transport.
	Write(bufs ...[]byte)
	// Close closes the connection immediately and drops the bytes that have not been sent. A second call has no effect.
	Close()
	// CloseAfterFlush closes the connection when all written bytes have been sent. No more bytes are received, and
	// later writes are dropped.
	CloseAfterFlush()
}
