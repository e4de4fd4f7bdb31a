package router

import (
	"fmt"
	"time"

	"functionrouter/policy"
)

// controlKind is the kind of a control call, which a worker answers without running a function.
type controlKind uint8

const (
	loadCommand controlKind = iota
	healthCheck
)

// String returns the kind's name.
func (k controlKind) String() string {
	switch k {
	case loadCommand:
		return "load command"
	case healthCheck:
		return "health check"
	}
	return fmt.Sprintf("controlKind(%d)", uint8(k))
}

// pendingControl is a control call that awaits its answer.
type pendingControl struct {
	kind     controlKind
	worker   policy.WorkerID
	function policy.FunctionID // loadCommand: what to load
	sentAt   time.Duration
}

// controlTable holds the pending control calls by id.
type controlTable struct {
	byID   map[ControlID]pendingControl
	lastID ControlID
}

func newControlTable() controlTable { return controlTable{byID: map[ControlID]pendingControl{}} }

// add stores c under a new id.
func (t *controlTable) add(c pendingControl) ControlID {
	t.lastID++
	t.byID[t.lastID] = c
	return t.lastID
}

// remove takes out the control call with the id if there is one of this kind.
func (t *controlTable) remove(id ControlID, kind controlKind) (c pendingControl, ok bool) {
	if c, ok = t.byID[id]; !ok || c.kind != kind {
		return pendingControl{}, false
	}
	delete(t.byID, id)
	return c, true
}

func (r *Router) sendLoadCommand(a policy.LoadInstance) {
	r.Counters.LoadCommands++
	command := pendingControl{kind: loadCommand, worker: a.Worker, function: a.Function}
	control := r.awaitControl(command, r.limits.LoadCommandTimeout)
	r.workers.LoadInstance(a.Worker, a.Function, a.Instances, control)
}

func (r *Router) sendHealthCheck(a policy.CheckHealth) {
	r.Counters.HealthChecks++
	control := r.awaitControl(pendingControl{kind: healthCheck, worker: a.Worker}, r.limits.HealthCheckTimeout)
	r.workers.CheckHealth(a.Worker, control)
}

// awaitControl stores a control call that is about to be sent, and sets its timeout.
func (r *Router) awaitControl(c pendingControl, timeout time.Duration) ControlID {
	c.sentAt = r.now
	control := r.controls.add(c)
	r.timers.schedule(r.now+timeout, timer{kind: controlTimeout, control: control})
	return control
}

// timeOutControl ends a control call that is still unanswered.
func (r *Router) timeOutControl(control ControlID) {
	c, ok := r.controls.byID[control]
	if !ok {
		return
	}
	r.workers.CancelControl(c.worker, control)
	switch c.kind {
	case loadCommand:
		r.LoadCommandEnded(control, policy.TimedOut, 0)
	case healthCheck:
		r.HealthCheckEnded(control, policy.TimedOut, nil)
	}
}

// LoadCommandEnded reports how a load command ended, and how many instances the worker has loaded. A report of a
// command that has ended already is ignored.
func (r *Router) LoadCommandEnded(control ControlID, outcome policy.Outcome, instances int) {
	command, ok := r.controls.remove(control, loadCommand)
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

// HealthCheckEnded reports how a health check ended, with the worker's load report where it gave one. A report of a
// check that has ended already is ignored.
func (r *Router) HealthCheckEnded(control ControlID, outcome policy.Outcome, loadReport []float64) {
	check, ok := r.controls.remove(control, healthCheck)
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
