package router

import "time"

// Status is the kind of final answer to a request.
type Status uint8

// The statuses.
const (
	// Served: a worker ran the request and gave a result.
	Served Status = iota // served
	// Refused: the request was not served, and the client can safely retry it.
	Refused // refused
	// Failed: the request was not served, and a retry may run it a second time.
	Failed // failed
)

// Response is the final answer to a request.
type Response struct {
	Status           Status
	Body             []byte        // with Served: the worker's result
	RetryAfter       time.Duration // with Refused: how long the client should wait before a retry; 0 if not specified
	MayHaveRun       bool          // false only if it is proven that no attempt ran
	DeadlineExceeded bool          // the request ended unserved at or shortly before its deadline
}

// Responder writes the final answer to a request's client. The Router calls Respond at most once, and never after
// Cancel. Respond may submit further requests before it returns.
//
// Respond must not call Cancel or Disconnect for its own request. The Router closes the request only after Respond has
// returned, so Cancel would close and count the request twice, and Disconnect would also answer it twice.
type Responder interface{ Respond(Response) }

// RequestOutcome says how a request ended, as passed to Config.OnRequestEnd. Unlike Status, it also covers requests
// that their clients cancelled.
type RequestOutcome uint8

// The outcomes of a request. Their names appear in the log and in webhook notices.
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

// outcome returns the outcome of a request whose final answer has status s.
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
