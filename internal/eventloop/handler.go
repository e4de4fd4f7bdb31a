package eventloop

// Handler receives the events of one connection. The loop calls all methods of a Handler on the loop's goroutine, one
// at a time. The methods must not block, and may call any method of Loop and of connections.
type Handler interface {
	// OnData delivers received bytes, or one datagram. The bytes are valid only during the call.
	OnData(b []byte)
	// OnClose is the last call. It is made once for each connection that was open. err says why the connection ended,
	// as described in the package's documentation. The connection is already closed.
	OnClose(err error)
}

// AcceptedHandler is the handler of an accepted connection. The loop may call HasOpenRequests at any time, also while
// the handler calls a method of the Conn.
type AcceptedHandler interface {
	Handler
	// HasOpenRequests reports whether the connection has unanswered requests. While it returns true, the connection is
	// not closed by the idle timeout (15 s), by the message timeout (2.5 s) or by an eviction.
	HasOpenRequests() bool
	// MessageProgress returns how many complete messages have arrived so far, and whether part of a further message has
	// arrived. The loop calls it after each OnData.
	MessageProgress() (complete int, partial bool)
	// OnEndOfInput is called when the end of the client's input (a FIN) was read. The client may have disconnected or
	// may still read, so the connection stays open until everything is written and no request is open.
	OnEndOfInput()
}

// DialHandler is the handler of a connection that this program opens.
type DialHandler interface {
	Handler
	// OnOpen reports the result of the dial, once and before any other call. If err is not nil, no further call
	// follows. The package's documentation lists the possible errors.
	OnOpen(err error)
}
