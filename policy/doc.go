// Package policy decides which worker serves a request for a function that is loaded on demand.
//
// A [Policy] is the decision maker of one router. It is a deterministic state machine: the router feeds it
// events in the order in which they happen, and it answers each with actions for the router to carry out.
// It reads no clock, starts no goroutine and does no I/O, so the same seed and events always give the same
// actions.
//
// # How it decides
//
// Scoring follows the mask-aware scheduler of InstGenIE ("InstGenIE: Generative Image Editing Made Efficient
// with Mask-aware Caching and Scheduling"): a request goes to the worker with the lowest predicted latency. The
// rest is an addition to it, for many routers that do not see each other's requests:
//
//   - Prediction. The score is the sum of the queueing delay at the worker, the request's run time, the time of a
//     load if the worker lacks the function, and the wait for nothing if it leaves requests unserved. The delay
//     is a line, fitted online, over our requests in flight there, plus a constant for what others queue there.
//   - Placement. A function that must be loaded goes to its first worker by rendezvous hashing (highest random
//     weight; Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998), which ranks
//     workers alike at all routers. It is spread over as many workers, its replicas, as its share of our work
//     asks for, or more while they are saturated; each router keeps to one replica, and others keep the rest
//     warm. As many requests of others make it likely that it is loaded there, the load counts for less.
//   - Load commands and backoff. Where workers do not load by themselves, one command per missing instance is sent
//     within a budget. While loads fail, at whatever worker, they begin one at a time and ever more slowly, to
//     guard the store that functions are loaded from; requests that need a load wait.
//   - Slow start. What workers serve is within their capacity, so each router keeps its sends to a worker that
//     has just started below a multiple of what one worker serves it on average: the sum over all routers holds
//     however uneven the traffic is. A part of a request is rounded at random, once per start of the worker, so
//     that many routers that send little still send their sum.
//   - Outlier ejection. A worker that cannot be reached, or is silent for too long and fails a health check, is
//     ejected for a growing time; its attempts are cancelled where the request may be sent elsewhere.
//   - Load shedding. A standing delay that even the fastest answers show serves nobody, so a growing part of the
//     requests is shed: first those beyond their tenant's quota or late at best, then those of least value for
//     their work. The measure is the shortest objective among the request's class and those of more value.
//   - Gossip. Routers tell each other which instances are loaded, at a cost per request that does not grow with
//     their number.
//
// All times are offsets on the router's monotonic clock. Estimates are in nanoseconds and of type float64.
package policy
