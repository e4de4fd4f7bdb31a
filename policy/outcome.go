package policy

import "fmt"

// Outcome says how an attempt, a health check or a load command ended.
type Outcome uint8

// The outcomes. WorkerOverloaded, Unreachable, NotSent and FunctionNotLoaded prove that an attempt never ran.
const (
	Served            Outcome = iota // answered with success
	Errored                          // answered with an error
	WorkerOverloaded                 // rejected by the worker before it looked at the request
	TimedOut                         // no answer in time
	Unreachable                      // no connection could be made
	ConnectionReset                  // the connection broke before the answer
	Cancelled                        // cancelled by the router
	NotSent                          // never left the router
	FunctionNotLoaded                // rejected since the worker has no instance of the function
)

// NeverRan reports whether the outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool {
	return o == WorkerOverloaded || o == Unreachable || o == NotSent || o == FunctionNotLoaded
}

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	return enumName(uint8(o), "served", "errored", "worker_overloaded", "timed_out", "unreachable",
		"connection_reset", "cancelled", "not_sent", "function_not_loaded")
}

// InstanceStatus is what an answer says of the function's instance at the worker.
type InstanceStatus uint8

// The instance statuses.
const (
	InstanceUnknown InstanceStatus = iota
	InstanceWarm                   // an instance was loaded already
	LoadStarted                    // the request began a load
	LoadAwaited                    // the request waited for a load that was under way
	LoadFailed                     // the load that the request waited for failed
)

// String returns the status's name for logs.
func (s InstanceStatus) String() string {
	return enumName(uint8(s), "unknown", "warm", "load_started", "load_awaited", "load_failed")
}

// enumName returns the name at an enum's value, or the number where it has none.
func enumName(value uint8, names ...string) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("unknown(%d)", value)
}
