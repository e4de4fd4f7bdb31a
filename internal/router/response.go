package router

import (
	"fmt"
	"time"
)

// Status is the kind of a final answer.
type Status uint8

// The statuses.
const (
	Served  Status = iota // a worker ran the request and gave a result
	Refused               // a retry is harmless
	Failed                // no promise: the request may have run, and a retry may run it again
)

// String returns the status's name.
func (s Status) String() string {
	switch s {
	case Served:
		return "served"
	case Refused:
		return "refused"
	case Failed:
		return "failed"
	}
	return fmt.Sprintf("Status(%d)", uint8(s))
}

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
type Responder interface{ Respond(Response) }

// RequestOutcome says how a request ended, as OnRequestEnd reports it. Unlike Status it covers requests whose
// clients are owed no answer any more.
type RequestOutcome uint8

// The outcomes of a request.
const (
	RequestServed    RequestOutcome = iota // answered with Served
	RequestRefused                         // answered with Refused
	RequestFailed                          // answered with Failed
	RequestCancelled                       // cancelled by its client before it was answered
)

// String returns the outcome's name for logs.
func (o RequestOutcome) String() string {
	switch o {
	case RequestServed:
		return "served"
	case RequestRefused:
		return "refused"
	case RequestFailed:
		return "failed"
	case RequestCancelled:
		return "cancelled"
	}
	return fmt.Sprintf("RequestOutcome(%d)", uint8(o))
}

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
