// Package eventloop runs non-blocking sockets on one goroutine: accepted and dialed TCP connections and connected UDP
// sockets, with limits on connections, on idle time and on bytes that peers do not read. It is for Linux (epoll).
//
// # Goroutines
//
// The goroutine that calls Loop.Run, "the loop's goroutine", owns all state. It alone waits for events, accepts, reads,
// writes and closes. No other goroutine touches a descriptor, so that none is closed while another uses it, and an event
// never reaches the connection that was given a closed one's descriptor number: events carry tokens that are used once
// (see poller).
//
// Loop.Post alone may be called on other goroutines, after Loop.Start. Listen and Start are called before Run. Everything
// else belongs to the loop's goroutine: all other methods, all fields of Loop, Conn and UDPConn, and the state of all
// handlers. Nothing is locked except the queue of Post. A host name that is dialed is resolved on a goroutine of its own,
// which posts the result.
//
// # Turns
//
// The loop works in turns. Each one waits for events, calls beginTurn, makes the calls deferred by the turn before and the
// posted ones, calls the handlers of the connections that have events, those of clients first, and then endTurn. At its end
// it writes what the turn has queued, in one gathered write for each connection. Several times a second it closes the
// accepted connections that have timed out.
//
// # Handlers
//
// A handler runs on the loop's goroutine and must not block: nothing else is served meanwhile. It may call any method of
// its own or another Conn or UDPConn and of Loop. None of these methods calls a handler before it returns, with one
// exception: the close of an accepted connection asks its handler HasOpenRequests. What a method leads to, such as OnClose
// after Close or OnOpen after Dial, is called in a later turn.
//
// # Buffers
//
// The bytes that OnData delivers belong to the loop and are valid during the call only. The buffers given to Conn.Write
// belong to the loop until the end of the turn; it does not change their bytes, and copies what the kernel does not take.
// UDPConn.Write sends at once and keeps nothing.
//
// # Times and errors
//
// Times are readings of the loop's monotonic clock, in whole microseconds. All handlers of a turn see the same one
// (Loop.Now). Sizes are in bytes.
//
// OnClose of a Conn gets nil where this side has closed it, also for a timeout or an eviction, io.EOF where the peer has,
// and else the error that ended it: the errno of a system call, or an error that says that the peer does not read. OnClose
// of a UDPConn gets net.ErrClosed after Close, and else the errno.
//
// OnOpen of a Conn gets an error that wraps os.ErrDeadlineExceeded after the timeout, ErrLocalFault if this machine could
// not open a connection until then, and else the error of the name's resolution or the errno with which the peer or the
// network refused. OnOpen of a UDPConn gets the error of the name's resolution, or the errno with which the socket could not
// be opened, connected or polled. A UDP dial has no timeout of its own and is not retried.
package eventloop

//go:generate go tool -modfile=../../tools/go.mod stringer -linecomment -output=enum_string.go -type=CloseCause,evictionPriority,connState,connEvent
