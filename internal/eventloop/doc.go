// Package eventloop runs non-blocking sockets on one goroutine: accepted and dialed TCP connections and connected UDP
// sockets. It limits the number of accepted connections, their idle time, and the bytes that peers leave unread. It
// requires Linux (epoll).
//
// # Goroutines
//
// The goroutine that calls Loop.Run is the loop's goroutine. It owns all state, and only it waits for events, accepts,
// reads, writes and closes. No other goroutine uses a descriptor, so that none is closed while it is in use. The kernel
// reuses descriptor numbers, but an event of a closed connection never reaches the connection that got its number,
// because events carry tokens that are used only once (see poller).
//
// Only Loop.Post may be called on other goroutines, after Loop.Start. Listen and Start are called before Run.
// Everything else is confined to the loop's goroutine: all other methods, all fields of Loop, Conn and UDPConn, and the
// state of all handlers. Only the queue of Post needs a lock. A dialed host name is resolved on a goroutine of its own,
// which posts the result.
//
// # Turns
//
// The loop works in turns. Each turn waits for events and calls beginTurn. It then makes the calls that the previous
// turn has deferred and the calls that were posted. Next, it reads the connections that have input, client connections
// first, in parts and for a limited time (see inputSchedule): input that is left is read in a later turn. After each part
// it calls Config.AfterInput, so that what is due does not have to wait for the end of the turn. It then calls endTurn.
// At the end of the turn the loop writes what the turn has queued, in one gathered write for each connection. Several
// times a second it closes the accepted connections that have timed out.
//
// # Handlers
//
// A handler runs on the loop's goroutine and must not block, because the loop serves no other connection meanwhile. It
// may call any method of Loop and of any Conn or UDPConn, including its own. None of these methods calls a handler
// before it returns, with two exceptions: closing an accepted connection calls its handler's HasOpenRequests, and
// Conn.CatchUp, which no handler may call, delivers input. Calls that result from a method, such as OnClose after Close or
// OnOpen after Dial, are made in a later turn.
//
// # Unseen input
//
// A turn reads a part of what has arrived from a client, so that clients at full speed do not make it long. The rest is
// unseen: it may withdraw what the turn acts on. Conn.UnseenFor tells for how long input of a connection may have waited
// unread, and Conn.CatchUp reads on. Whoever does something on behalf of a client that can't be taken back asks first.
//
// # Buffers
//
// The bytes that OnData delivers belong to the loop and are valid only during the call. The buffers given to Conn.Write
// belong to the loop until the end of the turn. The loop does not change their bytes, and copies those that the kernel
// does not take. UDPConn.Write sends at once and does not keep its buffers.
//
// # Times and errors
//
// Times are readings of the loop's monotonic clock, in whole microseconds. All handlers of a turn see the same time
// (Loop.Now). Sizes are in bytes.
//
// OnClose of a Conn gets nil if this side has closed the connection, also because of a timeout or an eviction. It gets
// io.EOF if the peer has closed the connection, and otherwise the error that ended it: the errno of a system call, or
// an error that says that the peer does not read. OnClose of a UDPConn gets net.ErrClosed after Close, and otherwise
// the errno.
//
// OnOpen of a Conn gets an error that wraps os.ErrDeadlineExceeded if the dial timed out, or ErrLocalFault if this
// machine could not open a connection before the timeout. Otherwise it gets the error of the name resolution, or the
// errno with which the peer or the network refused the connection. OnOpen of a UDPConn gets the error of the name
// resolution, or the errno with which the socket could not be opened, connected or polled. A UDP dial has no timeout
// and is not retried.
package eventloop

//go:generate go tool -modfile=../../tools/go.mod stringer -linecomment -output=enum_string.go -type=CloseCause,evictionPriority,connState,connEvent
