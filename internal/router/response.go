package router

import "time"

// Status is the kind of a final answer.
type Status uint8

// The statuses.
const (
	// Served: a worker ran the request and gave a result.
	Served Status = iota // served
	// Refused: a retry by the client is harmless.
	Refused // refused
	// Failed: no promise. The request may have run, and a retry may run it again.
	Failed // failed
)

// Response is the final answer to a request.
type Response struct {
	Status           Status
	Body             []byte        // Served: the worker's result
	RetryAfter       time.Duration // Refused: how long the client should wait before a retry; 0: no advice
	MayHaveRun       bool          // false only if it is proven that no attempt ran
	DeadlineExceeded bool          // the request ended unserved because its time ran out
}

// Responder writes the final answer to a request's client. Respond is called at most once, and never after Cancel.
// It may submit further requests before it returns.
//
// Respond must not call Cancel or Disconnect for its own request, which is closed only when Respond has returned: it
// would be closed and counted twice, or answered twice.
type Responder interface{ Respond(Response) }

// RequestOutcome says how a request ended, as OnRequestEnd reports it. Unlike Status it covers requests whose
// clients are owed no answer any more.
type RequestOutcome uint8

// The outcomes of a request. Their names stand in the log and in webhook notices.
const (
	// RequestServed: answered with Served.
	RequestServed RequestOutcome = iota // served
	// RequestRefused: answered with Refused.
	RequestRefused // refused
	// RequestFailed: answered with Failed.
	RequestFailed // failed
	// RequestCancelled: cancelled by its client before it was answered.
	RequestCancelled // cancelled
)

// outcome returns the outcome of a request that was answered with s.
func (s Status) outcome() RequestOutcome {
	switch s {
	case Served:
		return RequestServed
	case Refused:
		return RequestRefused
	default:
		return RequestFailed
	}
}
