package eventloop

// Handler receives the events of one connection. The loop calls all its methods on its own goroutine, one at a time. They
// must not block, and may call any method of Loop and of connections.
type Handler interface {
	// OnData delivers received bytes, or one datagram. They are valid during the call only.
	OnData(b []byte)
	// OnClose is the last call, made once for each connection that was open. err says why it ended: see the package's
	// documentation. The connection is closed already.
	OnClose(err error)
}

// AcceptedHandler is the handler of an accepted connection. The loop may call HasOpenRequests at any time, also during a
// method of the Conn that the handler calls.
type AcceptedHandler interface {
	Handler
	// HasOpenRequests reports whether requests of the connection have no answer yet. While it does, the connection is not
	// closed by the idle timeout (15 s), by the message timeout (2.5 s) or by an eviction.
	HasOpenRequests() bool
	// MessageProgress returns how many complete messages have arrived so far, and whether the beginning of
	// another one has. The loop calls it after each OnData.
	MessageProgress() (complete int, partial bool)
	// OnEndOfInput is called when the client has sent its last byte. The client may have gone, or may still read: the
	// connection stays open until everything is written and no request is open.
	OnEndOfInput()
}

// DialHandler is the handler of a connection that this program opens.
type DialHandler interface {
	Handler
	// OnOpen reports the result of the dial, once and before any other call. If err is not nil, it is the last call; the
	// package's documentation says which errors there are.
	OnOpen(err error)
}
