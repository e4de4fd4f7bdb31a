package backend

import (
	"log/slog"

	"functionrouter/policy"
)

// connectionState is where a connection stands between its dial and its close. It is no policy.WorkerState, although two
// names are alike: a ready worker may have draining connections. These are all transitions:
//
//	from        to          event
//	-           connecting  the pool dials (Pool.dial)
//	connecting  ready       the dial succeeds (OnOpen)
//	connecting  closed      it is retired, which cancels the dial
//	ready       draining    it is retired while calls are pending
//	ready       closed      it is closed while idle, or it fails
//	draining    closed      its last call has ended, as the next sweep finds, or it fails
//
// A ready connection is closed while idle if it is retired, has been idle for too long or makes room for another one.
// Pool.CloseIdleConnections closes an idle one in either state. A connection fails if its worker breaks the protocol; a
// ready one also fails if its worker leaves an answer incomplete, or doesn't answer the keep-alive check while it answers
// on other connections. Sweeps do not look for these two faults on a draining one: its calls end by the caller's timeouts.
//
// A failed dial and a close by the worker change no state: they remove the connection from its worker (terminate), and
// nothing uses it afterwards. The same follows each transition to closed: at once after a dial that was cancelled, with
// OnClose for an open connection.
type connectionState uint8

const (
	// Calls wait in the connection's queue for the end of the dial.
	stateConnecting connectionState = iota // connecting
	// Calls are written as they come.
	stateReady // ready
	// The connection takes no new calls and closes once the pending ones have ended.
	stateDraining // draining
	// The pool has closed the connection: what the worker still sends is ignored.
	stateClosed // closed
)

// idle reports whether no call is pending on c.
func (c *connection) idle() bool { return len(c.pending) == 0 }

// acceptsCalls reports whether new calls may go over c, now or once its dial has succeeded.
func (c *connection) acceptsCalls() bool { return c.state == stateConnecting || c.state == stateReady }

// close closes the connection; OnClose follows in a later turn if it was open. The state changes at once, so that no call
// goes over it until then: the call would be lost, and yet count as written.
func (c *connection) close() {
	c.state = stateClosed
	c.transport.Close()
}

// closeWithError closes a connection that has failed, and logs why and its state before.
func (c *connection) closeWithError(err error) {
	slog.Warn("worker connection closed", "address", c.worker.address, "state", c.state.String(), "error", err)
	c.close()
}

// retire drains c: it takes no new calls and closes once the pending ones have ended, or at once if there are none. A dial
// is cancelled, and the calls that wait for it end as Unreachable.
func (c *connection) retire() {
	switch {
	case c.state == stateConnecting:
		c.close()
		c.terminate(connectionEnd{outcome: policy.Unreachable})
	case c.idle():
		c.close()
	case c.state == stateReady:
		c.state = stateDraining
	}
}
