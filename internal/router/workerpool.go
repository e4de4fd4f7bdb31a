package router

import (
	"time"

	"functionrouter/policy"
)

// ControlID identifies a control call to a worker: a load command or a health check. A router uses each id once.
type ControlID uint64

// AttemptID identifies an attempt of a request; a request's attempts are numbered from 0.
type AttemptID struct {
	Request policy.RequestID
	Number  int
}

// WorkerPool carries messages to workers. Each StartAttempt, LoadInstance and CheckHealth is answered by one call of the
// Router's AttemptEnded, LoadCommandEnded or HealthCheckEnded, before it returns or later, unless it is cancelled first.
type WorkerPool interface {
	// StartAttempt sends a request to a worker, which has budget to answer it. The pool may read req until the call
	// returns, and may keep the body, which does not change.
	StartAttempt(worker policy.WorkerID, id AttemptID, req *Request, budget time.Duration)
	// CancelUnsent takes back an attempt of which nothing has been sent. It returns false, and does nothing, if
	// the attempt has ended or any of it may have been sent.
	CancelUnsent(id AttemptID) bool
	// CancelAttempt stops waiting for the answer to an attempt; its end is not reported any more.
	CancelAttempt(worker policy.WorkerID, id AttemptID)
	// LoadInstance commands a worker to keep count instances of a function loaded; with 0 it only asks how many there are.
	LoadInstance(worker policy.WorkerID, function policy.FunctionID, count int, id ControlID)
	// CheckHealth asks a worker for a sign of life and its load report.
	CheckHealth(worker policy.WorkerID, id ControlID)
	// CancelControl stops waiting for the answer to a load command or a health check.
	CancelControl(worker policy.WorkerID, id ControlID)
	// UnloadInstance tells a worker to drop the idle instances of a function. It is not answered.
	UnloadInstance(worker policy.WorkerID, function policy.FunctionID)
	// CloseIdleConnections closes the connections to a worker that carry nothing.
	CloseIdleConnections(worker policy.WorkerID)
}
