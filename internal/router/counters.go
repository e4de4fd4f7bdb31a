package router

import "functionrouter/policy"

// outcomeCount is the number of policy.Outcome values.
const outcomeCount = policy.FunctionNotLoaded + 1

// Counters counts events since the start of the program. They never decrease.
type Counters struct {
	// Requests, by frontend. Each one that was received is counted once more when it ends, in one of the others.
	Received           [frontendCount]uint64
	Served             [frontendCount]uint64
	Refused            [frontendCount]uint64 // by the policy, or at the deadline; not RefusedAtOnce
	Failed             [frontendCount]uint64
	ClientCancelled    [frontendCount]uint64
	ClientDisconnected [frontendCount]uint64 // those of ClientCancelled whose connection ended
	RefusedAtOnce      [frontendCount]uint64 // no room, or a shutdown; not in Refused, since the policy did not see them

	// Messages to workers.
	AttemptsSent uint64
	LoadCommands uint64
	HealthChecks uint64
	Unloads      uint64

	// How attempts, load commands and health checks ended, by policy.Outcome.
	AttemptOutcomes     [outcomeCount]uint64
	LoadCommandOutcomes [outcomeCount]uint64
	HealthCheckOutcomes [outcomeCount]uint64

	// Overdue counts requests that the policy had not ended by their deadlines. It stays 0 unless the policy is
	// at fault, the machine stalled, BeginShutdown moved the deadline of an open request, or a request came with
	// no time left, as with a wait of 0. See enforceDeadline.
	Overdue uint64
	// UnservedByReason counts requests that the policy refused or failed, by reason.
	UnservedByReason [policy.UnservedReasonCount]uint64
}

// countResponse counts the final answer to a request that was open.
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
