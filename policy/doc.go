// Package policy decides which worker serves a request for a function that is loaded on demand.
//
// A [Policy] takes the decisions of one router. It is a deterministic state machine: the router passes it
// events in the order in which they happen ([Policy.Handle]), and it answers each event with actions for the
// router to carry out. It reads no clock, starts no goroutine and does no I/O, so the same seed and events
// always give the same actions. The simulator adapter runs the same code.
//
// # How it decides
//
// Scoring follows the mask-aware scheduler of InstGenIE ("InstGenIE: Generative Image Editing Made Efficient
// with Mask-aware Caching and Scheduling", section 4.4): a request goes to the worker with the lowest
// predicted latency. The paper has one scheduler that sees every running batch. This package adds what is
// needed if there are many routers that do not see each other's requests. Read the files in this order:
//
//   - policy.go: the state, the dispatch of events, and the periodic work. timers.go: the timers that start
//     the periodic work and end requests at their deadlines.
//   - rules.go: the check that every action passes. It keeps a fault elsewhere in the package from sending an
//     attempt that a rule forbids.
//   - requests.go, attempts.go: the states of a request from its arrival to its one final answer.
//   - placement.go: the steps from a request to a worker. prediction.go: the formula of the predicted
//     latency. The score is this latency, less a bonus at the preferred worker.
//   - rendezvous.go: the choice of the worker that loads a function. Rendezvous hashing (highest random
//     weight) ranks the workers in the same order at all routers. A popular function is spread over several
//     replicas, and each router uses one of them.
//   - admission.go: which requests are refused although a worker could take them: requests that are predicted
//     to be answered too late and, in overload, the requests of least value (load shedding). quotas.go: the
//     tenants' quotas.
//   - learning.go, estimators.go: how answers change the estimates from which the score is calculated.
//   - outlier.go: the ejection of failed workers. An ejected worker returns after it has answered a health
//     check or, if health checks are not allowed, a trial attempt.
//   - slow_start.go: the limit on the requests that all routers together send to a worker that has just
//     started.
//   - load_commands.go, load_backoff.go: if workers do not load functions by themselves, the router sends
//     them load commands within a budget. While loads fail, loads begin one at a time with growing pauses.
//   - gossip.go: routers tell each other which instances are loaded, if the settings allow it.
//   - endpoints.go, classes.go, functions.go, instances.go: the state that is kept for a worker, for a class
//     of requests, for a function, and for a function at a worker.
//   - wait_queue.go, recent_events.go: requests that wait, and counts of events within a window, whose sizes
//     clients cannot raise without limit. state.go: the sizes of the state, for logs and tests.
//   - config_check.go: the settings that [New] rejects.
//
// The types of events, actions and settings are in config.go, events.go, actions.go and outcome.go.
//
// # Units
//
// Clock readings are offsets on the router's monotonic clock. Clock readings, the settings, and the times in
// events and actions are of type time.Duration; estimates are floating-point nanoseconds.
//
// A time of 0 means none, never or unknown if the comment of its field says so, as for loadEndsAt, startedAt
// and the timeouts. All other times start at 0, as if their event had happened when the clock began.
//
// Work is measured as run time: the work of a request is the time that it runs at a worker that has the
// function loaded, without queueing and loads.
//
// # Constants
//
// The comment of a constant says what the constant bounds or determines and, where that is not plain, what a
// higher or lower value does.
package policy

//go:generate go tool -modfile=../tools/go.mod stringer -linecomment -output=enum_string.go -type=Idempotency,DedupScope,WorkerState,EndpointUpdateKind,UnservedReason,Outcome,InstanceStatus,timerKind
