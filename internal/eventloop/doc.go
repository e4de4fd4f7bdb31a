// Package eventloop runs non-blocking sockets on one goroutine.
//
// The goroutine in Run, "the loop's goroutine", owns all state. It alone waits for events, accepts, reads, writes and
// closes. In each turn it calls the handlers of the connections that have events, calls the end-of-turn function once,
// and then writes what the turn produced, in one gathered write for each connection. No other goroutine touches a
// descriptor, so that none is closed while another uses it, and an event never reaches the connection that was given a
// closed one's descriptor: events carry tokens that are used once (see poller).
//
// Only Post may be called on other goroutines. All fields of Loop, Conn and UDPConn belong to the loop's goroutine, and so
// does the state of all handlers.
package eventloop

//go:generate go tool -modfile=../../tools/go.mod stringer -linecomment -output=enum_string.go -type=connState,connEvent
