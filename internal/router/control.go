package router

import (
	"time"

	"functionrouter/policy"
)

// controlKind is the kind of a control call: a call that a worker answers without running a function.
type controlKind uint8

const (
	loadCommand controlKind = iota // load command
	healthCheck                    // health check
)

// controlCall is a control call whose answer is pending.
type controlCall struct {
	kind     controlKind
	worker   policy.WorkerID
	function policy.FunctionID // loadCommand: the function to load
	sentAt   time.Duration
}

// controlTable holds the control calls whose answers are pending, by id.
type controlTable struct {
	byID   map[ControlID]controlCall
	lastID ControlID
}

func newControlTable() controlTable { return controlTable{byID: map[ControlID]controlCall{}} }

// add stores call under a new id.
func (t *controlTable) add(call controlCall) ControlID {
	t.lastID++
	t.byID[t.lastID] = call
	return t.lastID
}

// remove deletes the pending control call with the given id and returns it. It returns false and deletes nothing if
// there is no such call of the given kind.
func (t *controlTable) remove(id ControlID, kind controlKind) (call controlCall, ok bool) {
	call, ok = t.byID[id]
	if !ok || call.kind != kind {
		return controlCall{}, false
	}
	delete(t.byID, id)
	return call, true
}

func (r *Router) sendLoadCommand(action policy.LoadInstance) {
	r.Counters.LoadCommands++
	command := controlCall{kind: loadCommand, worker: action.Worker, function: action.Function}
	id := r.addControlCall(command, r.limits.LoadCommandTimeout)
	r.workers.LoadInstance(action.Worker, action.Function, action.Instances, id)
}

func (r *Router) sendHealthCheck(action policy.CheckHealth) {
	r.Counters.HealthChecks++
	check := controlCall{kind: healthCheck, worker: action.Worker}
	id := r.addControlCall(check, r.limits.HealthCheckTimeout)
	r.workers.CheckHealth(action.Worker, id)
}

// addControlCall stores a control call that is about to be sent and schedules its timeout.
func (r *Router) addControlCall(call controlCall, timeout time.Duration) ControlID {
	call.sentAt = r.now
	id := r.controls.add(call)
	r.timers.schedule(r.now+timeout, timer{kind: controlTimeout, control: id})
	return id
}

// timeOutControlCall ends a control call with policy.TimedOut if its answer is still pending.
func (r *Router) timeOutControlCall(id ControlID) {
	call, ok := r.controls.byID[id]
	if !ok {
		return
	}
	r.workers.CancelControl(call.worker, id)
	switch call.kind {
	case loadCommand:
		r.LoadCommandEnded(id, policy.TimedOut, 0)
	case healthCheck:
		r.HealthCheckEnded(id, policy.TimedOut, nil)
	}
}

// LoadCommandEnded tells the Router how a load command ended, at the time of the last SetNow, and how many instances of
// the function the worker has loaded. The policy gets the result during Process. LoadCommandEnded ignores a command
// that has already ended.
func (r *Router) LoadCommandEnded(id ControlID, outcome policy.Outcome, instances int) {
	command, ok := r.controls.remove(id, loadCommand)
	if !ok {
		return
	}
	r.Counters.LoadCommandOutcomes[outcome]++
	r.events.add(policy.LoadCommandEnded{
		Worker:    command.worker,
		Function:  command.function,
		Outcome:   outcome,
		Duration:  r.now - command.sentAt,
		Instances: instances,
	})
}

// HealthCheckEnded tells the Router how a health check ended, at the time of the last SetNow. loadReport is nil if the
// worker's answer had none. The policy gets the result during Process. HealthCheckEnded ignores a check that has
// already ended.
func (r *Router) HealthCheckEnded(id ControlID, outcome policy.Outcome, loadReport []float64) {
	check, ok := r.controls.remove(id, healthCheck)
	if !ok {
		return
	}
	r.Counters.HealthCheckOutcomes[outcome]++
	r.events.add(policy.HealthCheckEnded{
		Worker:     check.worker,
		Outcome:    outcome,
		Duration:   r.now - check.sentAt,
		LoadReport: loadReport,
	})
}
