package eventloop

// Handler receives the events of one connection. The loop calls all its methods on its own goroutine.
type Handler interface {
	// OnData delivers received bytes. They are valid during the call only.
	OnData(b []byte)
	// OnClose is the last call, made once for each connection that was open. err is nil where this side closed it.
	OnClose(err error)
}

// AcceptedHandler is the handler of an accepted connection.
type AcceptedHandler interface {
	Handler
	// HasOpenRequests reports whether requests of the connection have no answer yet. Neither a timeout nor
	// an eviction closes the connection while it does.
	HasOpenRequests() bool
	// MessageProgress returns how many complete messages have arrived so far, and whether the beginning of
	// another one has.
	MessageProgress() (complete int, partial bool)
	// OnEndOfInput says that the client has sent its last byte. It may have gone, or still read: the connection stays
	// open until all is written and no request is open.
	OnEndOfInput()
}

// DialHandler is the handler of a connection that this program opens.
type DialHandler interface {
	Handler
	// OnOpen reports the result of the dial. If err is not nil, it is the last call.
	OnOpen(err error)
}
