package backend

import (
	"log/slog"

	"functionrouter/policy"
)

// connectionState is where a connection stands between its dial and its close. These are all transitions:
//
//	from        to          event
//	-           connecting  the pool dials (Pool.dial)
//	connecting  ready       the dial succeeds (OnOpen)
//	connecting  closed      it is retired, which cancels the dial
//	ready       draining    it is retired while calls are pending
//	ready       closed      it is idle and no longer of use, or it fails
//	draining    closed      its last call has ended, as the next sweep finds, or it fails
//
// An idle connection is of no use if it is retired, has been idle for too long, makes room for another one, or
// Pool.CloseIdleConnections is called for its worker. A connection fails if its worker breaks the protocol, leaves an
// answer incomplete, or doesn't answer the keep-alive check while it answers on other connections.
//
// A failed dial and a close by the worker are no transitions: they remove the connection from its worker (terminate), and
// nothing uses it afterwards. The same follows each transition to closed: at once after a dial that was cancelled, with
// OnClose for an open connection.
type connectionState uint8

const (
	// Calls wait in the connection's queue for the end of the dial.
	connecting connectionState = iota // connecting
	// Calls are written as they come.
	ready // ready
	// The connection takes no new calls and closes once the pending ones have ended.
	draining // draining
	// The pool has closed the connection: what the worker still sends is ignored.
	closed // closed
)

// idle reports whether no call is pending on c.
func (c *connection) idle() bool { return len(c.pending) == 0 }

// takesCalls reports whether new calls may go over c, now or once its dial has succeeded.
func (c *connection) takesCalls() bool { return c.state == connecting || c.state == ready }

// close closes the connection; OnClose follows if it was open. No new call may go over it: the call would count as written.
func (c *connection) close() {
	c.state = closed
	c.transport.Close()
}

// closeWithError closes a connection that has failed, and logs why.
func (c *connection) closeWithError(err error) {
	slog.Warn("worker connection closed", "address", c.worker.address, "state", c.state.String(), "error", err)
	c.close()
}

// retire drains c: it takes no new calls and closes once the pending ones have ended. A dial is cancelled, and the calls
// that wait for it end as Unreachable.
func (c *connection) retire() {
	switch {
	case c.state == connecting:
		c.close()
		c.terminate(connectionEnd{outcome: policy.Unreachable})
	case c.idle():
		c.close()
	case c.state == ready:
		c.state = draining
	}
}
