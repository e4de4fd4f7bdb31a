package backend

import "functionrouter/policy"

// Commands to a worker. ID is the wire id of a call, which its answer repeats; FUNCTION is 16 hex digits.
const (
	commandRun         = "RUN"  // RUN ID queue=CLASS,path=FUNCTION,budget=MS BODY: run a function within MS milliseconds
	commandCancel      = "STOP" // STOP ID: cancel the attempt with this id; no answer
	commandLoad        = "HOLD" // HOLD ID path=FUNCTION,count=N: keep N instances loaded; 0 only asks how many are
	commandUnload      = "FREE" // FREE FUNCTION: unload the idle instances; no answer
	commandHealthCheck = "INFO" // INFO ID: report health and load
	commandKeepAlive   = "NOOP" // NOOP ID: answer, which shows only that the connection works
)

// Words of a worker's answer, and what the worker reports by them.
const (
	answerServed      = "HIT"   // the function ran, or the load command was carried out
	answerNotLoaded   = "NONE"  // the function has no instance here; nothing ran
	answerOverloaded  = "SHED"  // the worker takes no more; nothing ran
	answerFailed      = "FAULT" // the function or the load failed
	answerBudgetSpent = "LATE"  // the budget was spent before the start; nothing ran
	answerHealthy     = "PONG"  // the worker is healthy; to INFO and NOOP only
	answerUnhealthy   = "SICK"  // the worker answers and is not healthy; to INFO and NOOP only
)

// answerOutcomes maps the word of an answer to the outcome of its call. Only NONE, SHED and LATE prove that an attempt
// never ran, so words are compared exactly.
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
	fieldLoadReport     = "use"    // name:value;name:value, see parseLoadReport; to an attempt or a health check
	fieldInstanceStatus = "detail" // a key of instanceStatuses, in the answer to an attempt
	fieldInstanceCount  = "count"  // loaded instances, in the answer to a load command
)

// instanceStatuses maps the value of fieldInstanceStatus; any other is policy.InstanceUnknown.
var instanceStatuses = map[string]policy.InstanceStatus{
	"hot":     policy.InstanceWarm,
	"started": policy.LoadStarted,
	"waited":  policy.LoadAwaited,
	"broken":  policy.LoadFailed,
}
