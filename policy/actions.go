package policy

import "time"

// Action is an instruction to the router. Only the types of this package are actions. The policy emits no
// UnloadInstance, FetchEndpoints, CloseIdleConnections or LogLine; the simulator's protocol has messages for
// them.
type Action interface{ action() }

// SendAttempt sends a request to a worker. The attempts of a request are numbered from 0 in the order in
// which they are sent. The policy always sets Timeout to 0.
type SendAttempt struct {
	Request RequestID
	Worker  WorkerID
	Timeout time.Duration // time limit of the attempt; 0: the time until the client gives up
	// SendWithin is the time after which the attempt must not be sent, if it has to wait for a connection:
	// a repeat that arrives after the DedupWindow may run a second time. 0: no limit.
	SendWithin time.Duration
}

// CancelAttempt cancels an attempt in flight; its AttemptEnded still follows.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// UnservedReason is why the policy ended a request without a result.
type UnservedReason uint8

// The reasons to end a request without a result.
const (
	// DeadlineExceeded: no time was left to serve the request.
	DeadlineExceeded UnservedReason = iota // deadline_exceeded
	// NoWorkerAvailable: no worker may take the request, or none may take it in time.
	NoWorkerAvailable // no_worker_available
	// PredictedTooLate: the request was predicted to miss its deadline at the worker with the lowest score
	// or, for a request beyond its tenant's quota, its latency objective.
	PredictedTooLate // predicted_too_late
	// LoadShed: the request was shed in overload.
	LoadShed // load_shed
	// RepeatNotAllowed: an earlier request with the same id may have run, and its class allows no repeat now.
	RepeatNotAllowed // repeat_not_allowed

	// UnservedReasonCount is the number of reasons.
	UnservedReasonCount = iota
)

// RefuseRequest is a final answer. It promises that no worker ran the request, or that repeating the request
// is harmless.
type RefuseRequest struct {
	Request    RequestID
	RetryAfter time.Duration // time after which the client should try again; 0: not stated
	Reason     UnservedReason
}

// FailRequest is a final answer that does not promise that the request never ran.
type FailRequest struct {
	Request RequestID
	Reason  UnservedReason
}

// LoadInstance commands a worker to hold a number of instances of a function. If Instances is 0, the command
// only asks how many instances the worker holds.
type LoadInstance struct {
	Worker    WorkerID
	Function  FunctionID
	Instances int
}

// UnloadInstance commands a worker to unload the idle instances of a function.
type UnloadInstance struct {
	Worker   WorkerID
	Function FunctionID
}

// CheckHealth sends a health check to a worker; HealthCheckEnded follows.
type CheckHealth struct{ Worker WorkerID }

// SendGossip sends a message to another router, or to all other routers if To is negative.
type SendGossip struct {
	To   int
	Data []byte
}

// SetTimer asks the router for a TimerFired event with the same token after a time.
type SetTimer struct {
	After time.Duration
	Token uint64
	// Request is the request that the timer serves; 0: none. The router may drop the timer once this
	// request has ended and has no attempt in flight.
	Request RequestID
}

// Subscribe starts or ends the subscription to the endpoint list.
type Subscribe struct{ On bool }

// FetchEndpoints asks for the whole endpoint list once.
type FetchEndpoints struct{}

// CloseIdleConnections closes the idle connections to a worker.
type CloseIdleConnections struct{ Worker WorkerID }

// LogLine is a line for the operators' log.
type LogLine struct{ Text string }

func (SendAttempt) action()          {}
func (CancelAttempt) action()        {}
func (RefuseRequest) action()        {}
func (FailRequest) action()          {}
func (LoadInstance) action()         {}
func (UnloadInstance) action()       {}
func (CheckHealth) action()          {}
func (SendGossip) action()           {}
func (SetTimer) action()             {}
func (Subscribe) action()            {}
func (FetchEndpoints) action()       {}
func (CloseIdleConnections) action() {}
func (LogLine) action()              {}
