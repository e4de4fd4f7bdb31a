package backend

import "functionrouter/policy"

// Commands to a worker. ID is the wire ID of a call, which the answer repeats; FUNCTION is 16 hex digits.
const (
	commandRun         = "RUN"  // RUN ID queue=CLASS,path=FUNCTION,budget=MS BODY: run a function, within MS ms
	commandCancel      = "STOP" // STOP ID: cancel the attempt with this ID; no answer
	commandLoad        = "HOLD" // HOLD ID path=FUNCTION,count=N: keep N instances loaded; 0 only asks for their number
	commandUnload      = "FREE" // FREE FUNCTION: unload the idle instances; no answer
	commandHealthCheck = "INFO" // INFO ID: report health and load
	commandKeepAlive   = "NOOP" // NOOP ID: answer, which shows only that the connection works
)

// Statuses in a worker's answer.
const (
	answerServed      = "HIT"   // the function ran, or the load command was carried out
	answerNotLoaded   = "NONE"  // the function has no instance on the worker; nothing ran
	answerOverloaded  = "SHED"  // the worker is overloaded; nothing ran
	answerFailed      = "FAULT" // the function or the load command failed
	answerBudgetSpent = "LATE"  // the budget was spent before the function started; nothing ran
	answerHealthy     = "PONG"  // the worker is healthy; only in answers to INFO and NOOP
	answerUnhealthy   = "SICK"  // the worker is unhealthy; only in answers to INFO and NOOP
)

// answerOutcomes maps the status of an answer to the outcome of its call. Statuses are compared exactly, case included,
// because NONE, SHED and LATE prove that an attempt never ran, and the other statuses do not.
var answerOutcomes = map[string]policy.Outcome{
	answerServed:      policy.Served,
	answerNotLoaded:   policy.FunctionNotLoaded,
	answerOverloaded:  policy.WorkerOverloaded,
	answerFailed:      policy.Errored,
	answerBudgetSpent: policy.NotSent,
	answerHealthy:     policy.Served,
	answerUnhealthy:   policy.Errored,
}

// Names of an answer's fields.
const (
	fieldLoadReport     = "use"    // see parseLoadReport; in the answer to an attempt or a health check
	fieldInstanceStatus = "detail" // a key of instanceStatuses; in the answer to an attempt
	fieldInstanceCount  = "count"  // number of loaded instances; in the answer to a load command
)

// instanceStatuses maps the values of fieldInstanceStatus. Any other value means policy.InstanceUnknown.
var instanceStatuses = map[string]policy.InstanceStatus{
	"hot":     policy.InstanceWarm,
	"started": policy.LoadStarted,
	"waited":  policy.LoadAwaited,
	"broken":  policy.LoadFailed,
}
