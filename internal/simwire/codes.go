package simwire

import "functionrouter/policy"

// Codes of the event records. Each comment gives the simulator's name of the record.
const (
	codeResponseStarted  = 1  // ACK_FIRST
	codeAttemptEnded     = 2  // OUTCOME
	codeClientCancelled  = 3  // ABORTED
	codeRouterKilled     = 4  // KILL
	codeHealthCheckEnded = 5  // HEALTH_RESULT
	codeEndpointUpdate   = 6  // TARGETS
	codeTimerFired       = 7  // REMINDER
	codeGossipReceived   = 8  // MESSAGE
	codeRouterStarted    = 9  // INIT
	codeRequestArrived   = 10 // INCOMING
	codeLoadCommandEnded = 11 // READY_THERE
)

// Codes of the action records. Each comment gives the simulator's name of the record.
const (
	codeSetTimer             = 65 // AFTER
	codeCloseIdleConnections = 66 // HANG_UP
	codeFailRequest          = 67 // DROP_REQUEST
	codeSendAttempt          = 69 // PLACE
	codeSendGossip           = 70 // TELL
	codeSubscribe            = 71 // SUBSCRIBE
	codeLoadInstance         = 72 // MOUNT
	codeCheckHealth          = 73 // ASK_LOAD
	codeUnloadInstance       = 74 // UNMOUNT
	codeLogLine              = 75 // WRITE_LOG
	codeCancelAttempt        = 76 // STOP_ATTEMPT
	codeFetchEndpoints       = 77 // SNAPSHOT
	codeRefuseRequest        = 78 // DECLINE
)

// outcomes maps the codes on the wire to the outcomes of attempts, load commands and health checks.
var outcomes = []policy.Outcome{
	0: policy.Served,
	1: policy.Errored,
	2: policy.WorkerOverloaded,
	3: policy.TimedOut,
	4: policy.Unreachable,
	5: policy.ConnectionReset,
	6: policy.Cancelled,
	7: policy.NotSent,
	8: policy.FunctionNotLoaded,
}

// workerStates maps the codes on the wire to the states of the workers in an endpoint list.
var workerStates = []policy.WorkerState{
	0: policy.Gone,
	1: policy.Ready,
	2: policy.Draining,
}

// updateKinds maps the codes on the wire, which the simulator calls list modes, to the kinds of endpoint updates.
var updateKinds = []policy.EndpointUpdateKind{
	0: policy.IncrementalUpdate,
	1: policy.FullUpdate,
	2: policy.CachedUpdate,
	3: policy.UpdateFailed,
}

// instanceStatuses maps the codes in the outcome of an attempt to the statuses of the function's instance at the
// worker. A code that is not an index of the slice stands for policy.InstanceUnknown.
var instanceStatuses = []policy.InstanceStatus{
	0: policy.InstanceUnknown,
	1: policy.InstanceWarm,
	2: policy.LoadStarted,
	3: policy.LoadAwaited,
	4: policy.LoadFailed,
}
