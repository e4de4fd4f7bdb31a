package backend

import (
	"slices"
	"time"

	"functionrouter/policy"
)

// worker is an endpoint and the connections to it.
type worker struct {
	id          policy.WorkerID
	address     string        // "host:port"; empty if unknown
	startedAt   time.Duration // latest start of its process; 0 if unknown
	state       policy.WorkerState
	connections []*connection // in the order in which they were dialed
}

// isReady reports whether the endpoint list allows new attempts and load commands to be sent to the worker.
func (w *worker) isReady() bool { return w.state == policy.Ready }

// remove removes c from the worker's connections if it is one of them. It modifies the slice in place, so a loop that
// may end a connection must iterate over a clone.
func (w *worker) remove(c *connection) {
	if i := slices.Index(w.connections, c); i >= 0 {
		w.connections = append(w.connections[:i], w.connections[i+1:]...)
	}
}

// retireOutdated retires all connections if addr (empty if unchanged) is a new address of the worker, because another
// worker may now use the old address, or if startedAt (0 if unknown) is a later start than before. They may lead to an
// earlier process of the worker, which may live on; whether they were dialed before the start can't be told, because
// clocks differ. Attempts that wait on them end as Unreachable. A dial that has not ended and seems to have begun after the
// start goes on.
func (w *worker) retireOutdated(addr string, startedAt time.Duration) {
	addressChanged := addr != "" && addr != w.address
	if !addressChanged && startedAt <= w.startedAt {
		return
	}
	for _, c := range slices.Clone(w.connections) {
		switch {
		case c.state != stateConnecting:
			c.failQueued()
			c.retire()
		case addressChanged || c.dialedAt < startedAt:
			c.retire()
		}
	}
}

// answeredCallSentAfter reports whether the worker has answered, on any of its present connections, a call that was
// sent after t.
func (w *worker) answeredCallSentAfter(t time.Duration) bool {
	return slices.ContainsFunc(w.connections, func(c *connection) bool { return c.keepAlive.latestSendOfAnsweredCall > t })
}
