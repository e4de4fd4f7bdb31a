package policy

// Outcome says how an attempt, a health check or a load command ended.
type Outcome uint8

// The outcomes. WorkerOverloaded, Unreachable, NotSent and FunctionNotLoaded prove that an attempt never ran.
const (
	// Served: the worker answered with success.
	Served Outcome = iota // served
	// Errored: the worker answered with an error.
	Errored // errored
	// WorkerOverloaded: the worker rejected the request without running it, for example because of overload.
	WorkerOverloaded // worker_overloaded
	// TimedOut: no answer arrived in time.
	TimedOut // timed_out
	// Unreachable: no connection could be made.
	Unreachable // unreachable
	// ConnectionReset: the connection broke before the answer.
	ConnectionReset // connection_reset
	// Cancelled: the router cancelled the attempt.
	Cancelled // cancelled
	// NotSent: the attempt never left the router, or reached the worker after its deadline and did not run.
	NotSent // not_sent
	// FunctionNotLoaded: the worker rejected the request because it has no instance of the function.
	FunctionNotLoaded // function_not_loaded
)

// NeverRan reports whether the outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool {
	return o == WorkerOverloaded || o == Unreachable || o == NotSent || o == FunctionNotLoaded
}

// InstanceStatus is what an answer says about the function's instance at the worker.
type InstanceStatus uint8

// The instance statuses.
const (
	// InstanceUnknown: the answer does not mention the instance.
	InstanceUnknown InstanceStatus = iota // unknown
	// InstanceWarm: an instance was already loaded.
	InstanceWarm // warm
	// LoadStarted: the request started a load.
	LoadStarted // load_started
	// LoadAwaited: the request waited for a load that was under way.
	LoadAwaited // load_awaited
	// LoadFailed: the load that the request waited for failed.
	LoadFailed // load_failed
)
