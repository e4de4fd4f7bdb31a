// Package backend sends the router's calls to the workers.
//
// A Pool keeps connections to each worker and multiplexes calls over them: attempts, load commands and health checks.
// It selects the connection for a call, dials new connections, sends keep-alive checks over connections without recent
// answers, and closes connections that are idle for too long, outdated or unresponsive. The caller decides which worker
// gets a call and whether to retry an attempt.
//
// # Results
//
// The result of each call is reported once to the ResultHandler, either during the method that starts the call or
// later, unless the caller cancels the call first. Keep-alive checks are internal calls of the pool and are not
// reported. A failure is reported as a policy.Outcome; no method returns an error. The outcomes Unreachable, NotSent,
// FunctionNotLoaded and WorkerOverloaded prove that an attempt never ran; ConnectionReset means that it may have run.
//
// Attempts are written only by SendAttempt, so that the caller can decide at the last moment whether an attempt may begin.
// Until then they are queued on a connection, and move to another one if it ends.
//
// The pool does not time out calls that it has written: the caller cancels a call that takes too long. An attempt whose
// budget is spent while it waits ends as NotSent. The timeouts of dials, idle connections, keep-alive checks
// and incomplete answers apply to connections; when a connection ends, its calls end or are sent again.
//
// Connection errors are logged and never returned. The end of a connection without pending calls is not logged, because
// workers close connections that have been idle for long. If a worker violates the protocol, the pool closes the
// connection and logs an error that wraps errMalformedAnswer.
//
// # Wire
//
// Commands and answers are RESP arrays of bulk strings, as Redis defines them
// (https://redis.io/docs/latest/develop/reference/protocol-spec/). A command that expects an answer carries a wire ID,
// which the answer repeats; answers may arrive in any order. wire.go lists the commands and the answers, codec.go
// encodes and decodes the arrays.
//
// # Concurrency and time
//
// A Pool is not safe for concurrent use: all its methods and all events of its connections run on the event loop's
// goroutine. The package reads no clock: instants are readings of the event loop's clock that the caller passes to
// Pool.SetNow and Pool.Sweep. An instant of 0 means never or unknown.
package backend

//go:generate go tool -modfile=../../tools/go.mod stringer -linecomment -output=enum_string.go -type=callKind,connectionState,preference
