package router

import (
	"fmt"
	"time"

	"functionrouter/policy"
)

// controlKind is the kind of a control request, which a worker answers without running a function.
type controlKind uint8

const (
	loadOrder controlKind = iota
	healthProbe
)

// String returns the kind's name.
func (k controlKind) String() string {
	switch k {
	case loadOrder:
		return "load order"
	case healthProbe:
		return "health probe"
	}
	return fmt.Sprintf("controlKind(%d)", uint8(k))
}

// pendingControl is a control request that awaits its answer.
type pendingControl struct {
	kind     controlKind
	worker   policy.WorkerID
	function policy.FunctionID // loadOrder: what to load
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

func (r *Router) sendLoadOrder(a policy.LoadInstance) {
	r.Counters.LoadOrders++
	order := pendingControl{kind: loadOrder, worker: a.Worker, function: a.Function}
	tag := r.awaitControl(order, r.limits.LoadOrderTimeout)
	r.workers.LoadInstance(a.Worker, a.Function, a.Instances, tag)
}

func (r *Router) sendProbe(a policy.ProbeWorker) {
	r.Counters.Probes++
	tag := r.awaitControl(pendingControl{kind: healthProbe, worker: a.Worker}, r.limits.ProbeTimeout)
	r.workers.Probe(a.Worker, tag)
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
	case loadOrder:
		r.LoadOrderEnded(tag, policy.TimedOut, 0)
	case healthProbe:
		r.ProbeEnded(tag, policy.TimedOut, nil)
	}
}

// LoadOrderEnded reports how an order to load ended, and how many instances the worker has loaded. A report of an
// order that has ended already is ignored.
func (r *Router) LoadOrderEnded(tag uint64, outcome policy.Outcome, instances int) {
	order, ok := r.controls.remove(tag, loadOrder)
	if !ok {
		return
	}
	r.Counters.LoadOrderOutcomes[outcome]++
	r.events.add(policy.LoadOrderEnded{
		Worker:    order.worker,
		Function:  order.function,
		Outcome:   outcome,
		Duration:  r.now - order.sentAt,
		Instances: instances,
	})
}

// ProbeEnded reports how a probe ended, with the worker's load report where it gave one. A report of a probe that
// has ended already is ignored.
func (r *Router) ProbeEnded(tag uint64, outcome policy.Outcome, loadReport []float64) {
	probe, ok := r.controls.remove(tag, healthProbe)
	if !ok {
		return
	}
	r.Counters.ProbeOutcomes[outcome]++
	r.events.add(policy.ProbeEnded{
		Worker:     probe.worker,
		Outcome:    outcome,
		Duration:   r.now - probe.sentAt,
		LoadReport: loadReport,
	})
}
