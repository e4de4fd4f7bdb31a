package backend

import (
	"log/slog"

	"functionrouter/policy"
)

// connectionState is the state of a connection from its dial to its close. It is independent of policy.WorkerState,
// which also has the states ready and draining: a ready worker may have draining connections. These are all
// transitions:
//
//	from        to          event
//	-           connecting  the pool dials (Pool.dial)
//	connecting  ready       the dial succeeds (OnOpen)
//	connecting  closed      the connection is retired, which cancels the dial
//	ready       draining    the connection is retired while calls are pending
//	ready       closed      the pool closes the idle connection, or the connection fails
//	draining    closed      a sweep finds no pending calls, or the connection fails
//
// The pool closes an idle ready connection if it is retired, if it has been idle for too long, or to allow another
// connection at the limit on all connections. Pool.CloseIdleConnections closes idle ready and idle draining
// connections. A connection fails if its worker violates the protocol. A ready connection also fails if its worker
// leaves an answer incomplete, or does not answer the keep-alive check while it answers on other connections. Sweeps do
// not check draining connections for these two faults, because the callers' timeouts end the pending calls.
//
// A failed dial and a close by the worker do not change the state. They remove the connection from its worker
// (terminate), and the connection is not used afterwards. Each transition to closed leads to the same removal:
// immediately after a cancelled dial, and in OnClose for an open connection.
type connectionState uint8

const (
	// The dial has not ended. All calls are queued.
	stateConnecting connectionState = iota // connecting
	// Calls are written immediately, except attempts, which wait for Pool.SendAttempt.
	stateReady // ready
	// The connection accepts no new calls and is closed once the pending calls have ended.
	stateDraining // draining
	// The pool has closed the connection. Further bytes from the worker are ignored.
	stateClosed // closed
)

// idle reports whether no call is pending on c, except for an unanswered keep-alive check.
func (c *connection) idle() bool {
	return len(c.pending) == 0 || len(c.pending) == 1 && c.keepAlive.awaitsAnswer()
}

// acceptsCalls reports whether new calls may be sent over c, immediately or once its dial succeeds.
func (c *connection) acceptsCalls() bool { return c.state == stateConnecting || c.state == stateReady }

// close closes the connection. If it was open, OnClose follows in a later turn of the event loop. The state changes
// immediately, so that no call is sent over c before OnClose: the call would be marked as written but lost.
func (c *connection) close() {
	c.state = stateClosed
	c.transport.Close()
}

// closeWithError logs err and the present state of a connection that has failed, and closes the connection.
func (c *connection) closeWithError(err error) {
	slog.Warn("worker connection closed", "address", c.worker.address, "state", c.state.String(), "error", err)
	c.close()
}

// retire drains c: c accepts no new calls and is closed once the pending calls have ended, or immediately if there are
// none. If c is still being dialed, retire cancels the dial and ends the queued calls as Unreachable.
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
