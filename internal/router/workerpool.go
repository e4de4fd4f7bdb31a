package router

import (
	"time"

	"functionrouter/policy"
)

// ControlID identifies a control call to a worker: a load command or a health check. A Router never reuses an id.
type ControlID uint64

// AttemptID identifies an attempt of a request. The attempts of a request are numbered from 0.
type AttemptID struct {
	Request policy.RequestID
	Number  int
}

// WorkerPool carries messages to workers. For each call of StartAttempt, LoadInstance and CheckHealth, the pool calls
// the Router's AttemptEnded, LoadCommandEnded or HealthCheckEnded once, either before the method returns or later. The
// pool makes no such call for an attempt or a control call that the Router has cancelled.
type WorkerPool interface {
	// StartAttempt prepares an attempt to send a request to a worker, which must answer within budget. The pool sends it
	// when the Router calls SendAttempt. The pool must not use req after the method returns, but may keep the body, which
	// does not change.
	StartAttempt(worker policy.WorkerID, id AttemptID, req *Request, budget time.Duration)
	// SendableAttempts appends the attempts that have not been sent and could be sent now to ids, in the order of
	// StartAttempt.
	SendableAttempts(ids []AttemptID) []AttemptID
	// SendAttempt sends an attempt that SendableAttempts has returned. If the attempt can't be sent at present, it
	// continues to wait.
	SendAttempt(id AttemptID)
	// CancelUnsent cancels an attempt of which no byte has been sent. It returns false and does nothing if the attempt
	// has ended or any byte of it may have been sent.
	CancelUnsent(id AttemptID) bool
	// CancelAttempt stops waiting for the answer to an attempt. The pool must not report the end of the attempt
	// afterwards.
	CancelAttempt(worker policy.WorkerID, id AttemptID)
	// LoadInstance commands a worker to keep count instances of a function loaded. A count of 0 only asks for the
	// number of loaded instances.
	LoadInstance(worker policy.WorkerID, function policy.FunctionID, count int, id ControlID)
	// CheckHealth sends a health check to a worker, which answers with its load report.
	CheckHealth(worker policy.WorkerID, id ControlID)
	// CancelControl stops waiting for the answer to a load command or a health check. The pool must not report the end
	// of this call afterwards.
	CancelControl(worker policy.WorkerID, id ControlID)
	// UnloadInstance commands a worker to unload the idle instances of a function. The worker sends no answer.
	UnloadInstance(worker policy.WorkerID, function policy.FunctionID)
	// CloseIdleConnections closes those connections to a worker that have no pending calls.
	CloseIdleConnections(worker policy.WorkerID)
}
