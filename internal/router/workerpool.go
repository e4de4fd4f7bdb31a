package router

import (
	"time"

	"functionrouter/policy"
)

// ControlID names a control call to a worker: a load command or a health check. A router uses each one once.
type ControlID uint64

// AttemptID names an attempt of a request; a request's attempts are numbered from 0.
type AttemptID struct {
	Request policy.RequestID
	Number  int
}

// WorkerPool carries messages to workers. Each StartAttempt, LoadInstance and CheckHealth is answered by one call of the
// Router's AttemptEnded, LoadCommandEnded or HealthCheckEnded, before it returns or later, unless it is cancelled first.
type WorkerPool interface {
	// StartAttempt sends a request to a worker, which has budget to answer it. It may read req until it returns.
	StartAttempt(worker policy.WorkerID, attempt AttemptID, req *Request, budget time.Duration)
	// CancelUnsent takes back an attempt of which nothing has been sent. It returns false, and does nothing, if
	// the attempt has ended or any of it may have been sent.
	CancelUnsent(attempt AttemptID) bool
	// CancelAttempt gives an attempt up; its end is not reported any more.
	CancelAttempt(worker policy.WorkerID, attempt AttemptID)
	// LoadInstance commands a worker to keep count instances of a function loaded. The control names the command.
	LoadInstance(worker policy.WorkerID, function policy.FunctionID, count int, control ControlID)
	// CheckHealth checks a worker's health. The control names the health check.
	CheckHealth(worker policy.WorkerID, control ControlID)
	// CancelControl stops waiting for the answer to a load command or a health check.
	CancelControl(worker policy.WorkerID, control ControlID)
	// UnloadInstance tells a worker to drop the idle instances of a function. It is not answered.
	UnloadInstance(worker policy.WorkerID, function policy.FunctionID)
	// CloseIdleConnections closes the connections to a worker that carry nothing.
	CloseIdleConnections(worker policy.WorkerID)
}
