package router

import (
	"fmt"
	"time"

	"functionrouter/policy"
)

// controlKind is the kind of a control request, which a worker answers without running a function.
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

// pendingControl is a control request that awaits its answer.
type pendingControl struct {
	kind     controlKind
	worker   policy.WorkerID
	function policy.FunctionID // loadCommand: what to load
	sentAt   time.Duration
}

// controlTable holds the pending control requests by tag.
type controlTable struct {
	byTag   map[uint64]pendingControl
	lastTag uint64
}

func newControlTable() controlTable { return controlTable{byTag: map[uint64]pendingControl{}} }

// add stores c under a new tag.
func (t *controlTable) add(c pendingControl) (tag uint64) {
	t.lastTag++
	t.byTag[t.lastTag] = c
	return t.lastTag
}

// remove takes out the control request with the tag if there is one of this kind.
func (t *controlTable) remove(tag uint64, kind controlKind) (c pendingControl, ok bool) {
	if c, ok = t.byTag[tag]; !ok || c.kind != kind {
		return pendingControl{}, false
	}
	delete(t.byTag, tag)
	return c, true
}

func (r *Router) sendLoadCommand(a policy.LoadInstance) {
	r.Counters.LoadCommands++
	command := pendingControl{kind: loadCommand, worker: a.Worker, function: a.Function}
	tag := r.awaitControl(command, r.limits.LoadCommandTimeout)
	r.workers.LoadInstance(a.Worker, a.Function, a.Instances, tag)
}

func (r *Router) sendHealthCheck(a policy.CheckHealth) {
	r.Counters.HealthChecks++
	tag := r.awaitControl(pendingControl{kind: healthCheck, worker: a.Worker}, r.limits.HealthCheckTimeout)
	r.workers.CheckHealth(a.Worker, tag)
}

// awaitControl stores a control request that is about to be sent, and sets its timeout.
func (r *Router) awaitControl(c pendingControl, timeout time.Duration) (tag uint64) {
	c.sentAt = r.now
	tag = r.controls.add(c)
	r.timers.schedule(r.now+timeout, timer{kind: controlTimeout, token: tag})
	return tag
}

// timeOutControl ends a control request that is still unanswered.
func (r *Router) timeOutControl(tag uint64) {
	c, ok := r.controls.byTag[tag]
	if !ok {
		return
	}
	r.workers.AbandonControl(c.worker, tag)
	switch c.kind {
	case loadCommand:
		r.LoadCommandEnded(tag, policy.TimedOut, 0)
	case healthCheck:
		r.HealthCheckEnded(tag, policy.TimedOut, nil)
	}
}

// LoadCommandEnded reports how a load command ended, and how many instances the worker has loaded. A report of a
// command that has ended already is ignored.
func (r *Router) LoadCommandEnded(tag uint64, outcome policy.Outcome, instances int) {
	command, ok := r.controls.remove(tag, loadCommand)
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

// HealthCheckEnded reports how a health check ended, with the worker's load report where it gave one. A report of a health check that
// has ended already is ignored.
func (r *Router) HealthCheckEnded(tag uint64, outcome policy.Outcome, loadReport []float64) {
	check, ok := r.controls.remove(tag, healthCheck)
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
