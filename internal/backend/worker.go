package backend

import (
	"slices"
	"time"

	"functionrouter/policy"
)

// worker is one endpoint and the connections to it.
type worker struct {
	id          policy.WorkerID
	address     string // "host:port"; "" if it is not known
	state       policy.WorkerState
	connections []*connection // in the order of their dials
}

// isReady reports whether new attempts and load commands may be sent to the worker, by the endpoint list.
func (w *worker) isReady() bool { return w.state == policy.Ready }

// remove takes c off the worker's connections, if it is one of them. It changes the slice in place: a loop whose body may
// end a connection runs over a clone.
func (w *worker) remove(c *connection) {
	if i := slices.Index(w.connections, c); i >= 0 {
		w.connections = append(w.connections[:i], w.connections[i+1:]...)
	}
}

// retireOutdated retires all connections if addr ("": unchanged) is not the worker's present address, because another
// worker may have taken that over. It also retires those that were dialed before startedAt (0: unknown): they led to an
// earlier process of the worker, and what is sent over them after a restart of its machine is answered by a reset.
func (w *worker) retireOutdated(addr string, startedAt time.Duration) {
	addressChanged := addr != "" && addr != w.address
	for _, c := range slices.Clone(w.connections) {
		if addressChanged || c.dialedAt < startedAt {
			c.retire()
		}
	}
}

// answeredCallSentAfter reports whether the worker has answered a call that was sent after t, on any of its present
// connections.
func (w *worker) answeredCallSentAfter(t time.Duration) bool {
	return slices.ContainsFunc(w.connections, func(c *connection) bool { return c.keepAlive.lastAnsweredCallSentAt > t })
}
