// Package policy decides which worker serves a request for a function that is loaded on demand.
//
// A [Policy] is the decision maker of one router. It is a deterministic state machine: the router feeds it
// events in the order in which they happen ([Policy.Handle]), and it answers each with actions for the router
// to carry out. It reads no clock, starts no goroutine and does no I/O, so the same seed and events always
// give the same actions. The simulator adapter runs the same code.
//
// # How it decides
//
// Scoring follows the mask-aware scheduler of InstGenIE ("InstGenIE: Generative Image Editing Made Efficient
// with Mask-aware Caching and Scheduling", section 4.4): a request goes to the worker with the lowest
// predicted latency. The paper has one scheduler that sees every running batch; the rest is for many routers
// that do not see each other's requests. Read the files in this order:
//
//   - policy.go: the state, the dispatch of events, and the periodic work. timers.go: what wakes it.
//   - rules.go: the check that every action passes. No mistake elsewhere sends an attempt that a rule
//     forbids.
//   - requests.go, attempts.go: the life of a request from its arrival to its one final answer.
//   - placement.go: the steps from a request to a worker. prediction.go: the predicted latency, as a formula,
//     which a bonus makes the score.
//   - rendezvous.go: where a function that must be loaded is loaded. Rendezvous hashing (highest random
//     weight) ranks workers alike at all routers; a popular function is spread over several replicas, of
//     which each router keeps to one.
//   - admission.go: which requests are refused although a worker could take them: those that no worker can
//     finish in time, and in overload those of least value (load shedding). quotas.go: the tenants' quotas.
//   - learning.go, estimators.go: how answers change the estimates that the score is made of.
//   - outlier.go: workers that fail are ejected, and return after a health check or, where none may be sent,
//     a trial attempt.
//   - slow_start.go: workers that have just started get only what they bear from all routers together.
//   - load_commands.go, load_backoff.go: where workers do not load by themselves they are commanded to,
//     within a budget; while loads fail, they begin one at a time and ever more slowly.
//   - gossip.go: routers tell each other which instances are loaded, where the settings allow it.
//   - endpoints.go, classes.go, functions.go, instances.go: what is known of a worker, of a class of
//     requests, of a function, and of a function at a worker.
//   - config_check.go: which settings are refused at the start.
//
// The types that enter and leave are in config.go, events.go, actions.go and outcome.go.
//
// # Units
//
// Clock readings are offsets on the router's monotonic clock. They, the settings and what enters or leaves
// the policy are of type time.Duration; estimates are floating-point nanoseconds.
//
// A time of 0 means none or never where a field says so (loadEndsAt, startedAt, the timeouts); the other
// times start at 0, as if what they stand for had happened when the clock began.
//
// # Constants
//
// Constants say what they bound and, where it is not plain, what a higher or lower value would do. One that
// names no source (the settings, a page, a paper) is a default of this project and no measured optimum; the
// simulator's score tells what another value is worth.
package policy

//go:generate go tool -modfile=../tools/go.mod stringer -linecomment -output=enum_string.go -type=Idempotency,DedupScope,WorkerState,EndpointUpdateKind,UnservedReason,Outcome,InstanceStatus,timerKind
