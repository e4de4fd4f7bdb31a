package router

import "fmt"

// RequestOutcome says how a request ended, as OnRequestEnd reports it. Unlike Status it covers requests whose
// clients are owed no answer any more.
type RequestOutcome uint8

// The outcomes of a request.
const (
	RequestServed    RequestOutcome = iota // answered with Served
	RequestRefused                         // answered with Refused
	RequestFailed                          // answered with Failed
	RequestAbandoned                       // cancelled by its client before it was answered
)

// String returns the outcome's name. The webhook notices carry it on the wire: the texts must not change.
func (o RequestOutcome) String() string {
	switch o {
	case RequestServed:
		return "served"
	case RequestRefused:
		return "refused"
	case RequestFailed:
		return "failed"
	case RequestAbandoned:
		return "abandoned"
	}
	return fmt.Sprintf("RequestOutcome(%d)", uint8(o))
}
