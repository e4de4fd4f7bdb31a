package backend

import "functionrouter/policy"

// Commands to a worker.
const (
	commandRun         = "RUN"  // RUN ID queue=CLASS,path=FUNCTION,budget=MS BODY: run a function
	commandCancel      = "STOP" // STOP ID: give an attempt up; no answer
	commandLoad        = "HOLD" // HOLD ID path=FUNCTION,count=N: keep N instances loaded
	commandUnload      = "FREE" // FREE FUNCTION: unload the idle instances; no answer
	commandHealthCheck = "INFO" // INFO ID: report health and load
	commandPing        = "NOOP" // NOOP ID: answer, which tells only that the connection works
)

// Words of a worker's answer.
const (
	answerServed         = "HIT"
	answerNotLoaded      = "NONE"
	answerOverloaded     = "SHED"
	answerFailed         = "FAULT"
	answerDeadlinePassed = "LATE"
	answerHealthy        = "PONG" // to INFO and NOOP only
	answerUnhealthy      = "SICK" // to INFO and NOOP only
)

// answerOutcomes maps an answer's word. Only NONE, SHED and LATE prove that an attempt never ran, so words
// are compared exactly.
var answerOutcomes = map[string]policy.Outcome{
	answerServed:         policy.Served,
	answerNotLoaded:      policy.FunctionNotLoaded,
	answerOverloaded:     policy.WorkerOverloaded,
	answerFailed:         policy.Errored,
	answerDeadlinePassed: policy.NotSent,
	answerHealthy:        policy.Served,
	answerUnhealthy:      policy.Errored,
}

// Names of an answer's fields.
const (
	fieldLoadReport     = "use"
	fieldInstanceStatus = "detail"
	fieldInstanceCount  = "count"
)

// instanceStatuses maps the value of fieldInstanceStatus; any other is policy.InstanceUnknown.
var instanceStatuses = map[string]policy.InstanceStatus{
	"hot":     policy.InstanceWarm,
	"started": policy.LoadStarted,
	"waited":  policy.LoadAwaited,
	"broken":  policy.LoadFailed,
}
