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

// acceptsNew reports whether new attempts and load commands may be sent to the worker.
func (w *worker) acceptsNew() bool { return w.state == policy.Ready }

// remove takes c off the worker's connections, if it is one of them.
func (w *worker) remove(c *connection) {
	if i := slices.Index(w.connections, c); i >= 0 {
		w.connections = append(w.connections[:i], w.connections[i+1:]...)
	}
}

// retireOutdated retires the connections to another address than addr ("": unchanged), and those that were dialed before
// started (0: unknown). A worker that restarted elsewhere may have left its old address to another worker. A machine that
// vanished and came back answers with a reset whatever still arrives on an earlier connection.
func (w *worker) retireOutdated(addr string, started time.Duration) {
	moved := addr != "" && addr != w.address
	for _, c := range slices.Clone(w.connections) {
		if moved || c.dialedAt < started {
			c.retire()
		}
	}
}

// answeredCallSentAfter reports whether the worker has answered a call that was sent after t, on any connection.
func (w *worker) answeredCallSentAfter(t time.Duration) bool {
	return slices.ContainsFunc(w.connections, func(c *connection) bool { return c.keepAlive.lastAnsweredSentAt > t })
}
