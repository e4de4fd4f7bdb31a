// Package backend is the client side of the router towards its workers.
//
// A Pool keeps connections to each worker and multiplexes calls over them: attempts, load commands and health checks. It
// chooses the connection for a call, dials new ones, checks those that have fallen silent (the keep-alive check) and
// closes those that are no longer of use. Which worker gets a call, and whether to retry, is the caller's decision.
//
// # Results
//
// The end of each call is reported once to the ResultHandler, either during the method that starts the call or later,
// unless the caller cancels the call first. Keep-alive checks are calls of the pool itself and are not reported. A failure
// is reported as a policy.Outcome; no method returns an error. The outcomes Unreachable, NotSent, FunctionNotLoaded and
// WorkerOverloaded prove that an attempt never ran; ConnectionReset means that it may have run.
//
// The pool doesn't time out calls that it has written: the caller cancels a call that takes too long. An attempt whose
// budget is spent while it waits for a dial ends as NotSent. The timeouts here, of dials, idle connections, keep-alive
// checks and incomplete answers, are of connections; a call ends, or is sent again, when its connection ends.
//
// Errors of connections are never returned. They are logged, except the end of a connection without pending calls, which
// workers close when it has been idle for long. A connection whose worker breaks the protocol is closed with an error that
// wraps errMalformedAnswer.
//
// # Wire
//
// Commands and answers are RESP arrays of bulk strings, as Redis defines them
// (https://redis.io/docs/latest/develop/reference/protocol-spec/). A command that has an answer carries a wire id, which
// the answer repeats; answers may come in any order. wire.go lists the words, codec.go encodes the arrays.
//
// # Concurrency and time
//
// Nothing here is safe for concurrent use: all methods of a Pool and all events of its connections run on the
// event loop's goroutine. The package has no clock of its own: instants are readings of the event loop's clock, given
// by Pool.SetNow and Pool.Sweep. An instant of 0 stands for never or for unknown.
package backend

//go:generate go tool -modfile=../../tools/go.mod stringer -linecomment -output=enum_string.go -type=callKind,connectionState,preference
