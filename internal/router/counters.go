package router

import (
	"time"

	"functionrouter/policy"
)

// outcomeCount is the number of policy.Outcome values.
const outcomeCount = policy.FunctionNotLoaded + 1

// Counters holds the numbers of events since the start of the program. A counter never decreases.
type Counters struct {
	// Requests by frontend. Received counts each request when it arrives. Exactly one of Served, Refused, Failed,
	// ClientCancelled and RefusedAtOnce counts the request when it ends.
	Received           [frontendCount]uint64
	Served             [frontendCount]uint64
	Refused            [frontendCount]uint64 // refused by the policy or at the deadline; excludes RefusedAtOnce
	Failed             [frontendCount]uint64
	ClientCancelled    [frontendCount]uint64
	ClientDisconnected [frontendCount]uint64 // requests that ClientCancelled counts and whose client's connection ended
	RefusedAtOnce      [frontendCount]uint64 // refused because of a limit or a shutdown; the policy gets no event

	// ReturnedIDs counts requests whose ID an earlier request had that has ended and may have run.
	ReturnedIDs uint64

	// Messages sent to workers.
	AttemptsSent uint64
	LoadCommands uint64
	HealthChecks uint64
	Unloads      uint64

	// Ended attempts, load commands and health checks, by policy.Outcome.
	AttemptOutcomes     [outcomeCount]uint64
	LoadCommandOutcomes [outcomeCount]uint64
	HealthCheckOutcomes [outcomeCount]uint64

	// Overdue counts requests that enforceDeadline ended because the policy had not ended them by their deadlines. It
	// stays 0 unless the policy has a fault, the machine stalls, BeginShutdown moves the deadline of an open request,
	// or a request arrives with no time left, such as one whose client waits for 0 ms.
	Overdue uint64
	// LateAnswers counts the answers that were given after Request.GivesUpAt. LatestAnswer is the longest time by which one
	// was later, and LongestInputWait is the longest Request.InputWait of all requests.
	LateAnswers      uint64
	LatestAnswer     time.Duration
	LongestInputWait time.Duration
	// UnservedByReason counts requests that the policy refused or failed, by reason.
	UnservedByReason [policy.UnservedReasonCount]uint64
}

// countResponse counts the final answer to an open request.
func (c *Counters) countResponse(f Frontend, s Status) {
	switch s {
	case Served:
		c.Served[f]++
	case Refused:
		c.Refused[f]++
	case Failed:
		c.Failed[f]++
	}
}
