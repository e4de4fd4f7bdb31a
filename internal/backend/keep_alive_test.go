package backend

import (
	"errors"
	"strings"
	"testing"
	"time"

	"functionrouter/policy"
)

// The pool must not keep using a connection that the network has cut off. Such a connection looks open to the router
// but delivers no answers, although its worker is healthy. If the limits on connections allow it, the pool must dial
// another connection for the next call instead of sending the call over the unresponsive connection. After an answer on
// the other connection, the pool must close the unresponsive connection and end its pending calls. If the worker
// answers on no connection, the pool must keep all connections open: the policy determines by health checks whether the
// worker is healthy.
func TestUnresponsiveConnectionIsClosedIfWorkerAnswersOnAnother(t *testing.T) {
	for _, test := range []struct {
		name    string
		healthy bool
	}{
		{"healthy worker", true},
		{"unresponsive worker", false},
	} {
		t.Run(test.name, func(t *testing.T) { testUnresponsiveConnection(t, test.healthy) })
	}
}

func testUnresponsiveConnection(t *testing.T, healthy bool) {
	t.Helper()
	logged := captureLog(t)
	p := newTestPool()
	now := time.Hour
	p.Sweep(now)
	sweepFor := func(d time.Duration) {
		for end := now + d; now < end; {
			now += SweepInterval
			p.Sweep(now)
		}
	}
	a := firstAttempt(1)
	unresponsive := p.startOnOpenConnection(a, hexID(0xa1))
	sweepFor(keepAliveAfter + SweepInterval)
	if got := unresponsive.Written.String(); strings.Count(got, "NOOP") != 1 {
		t.Fatalf("wrote %q, want one keep-alive check", got)
	}
	sweepFor(SweepInterval)
	p.start(firstAttempt(2), hexID(0xb2))
	if indices := p.transportsWithAttempt(hexID(0xb2)); len(p.transports) != 2 || len(indices) != 0 {
		t.Fatalf("the second attempt was written to the connections %v, want none before the second dial ends; "+
			"%d connections, want 2", indices, len(p.transports))
	}
	responsive := p.transports[1]
	responsive.handler.OnOpen(nil)
	sweepFor(SweepInterval)
	if healthy {
		responsive.handler.OnData(encodeAnswer(hexID(0xb2), "HIT", ""))
	}
	if unresponsive.Closed {
		t.Fatal("the unresponsive connection was closed before its keep-alive check timed out")
	}
	sweepFor(keepAliveTimeout + SweepInterval)
	if unresponsive.Closed != healthy {
		t.Errorf("unresponsive connection closed: %v, want %v", unresponsive.Closed, healthy)
	}
	if err := logged.lastCloseError(); errors.Is(err, errUnresponsiveConnection) != healthy {
		t.Errorf("logged error %v, want error %q: %v", err, errUnresponsiveConnection, healthy)
	}
	unresponsive.handler.OnClose(nil)
	if ended := p.recorder.attempts[a]; len(ended) != 1 || ended[0] != policy.ConnectionReset {
		t.Errorf("the attempt on the unresponsive connection ended with %v, want [%v]", ended, policy.ConnectionReset)
	}
}

// After an answer to the keep-alive check of a connection, the pool must select the connection for new calls again.
func TestAnsweredKeepAliveMakesConnectionResponsive(t *testing.T) {
	p := newTestPool()
	transport := p.startOnOpenConnection(firstAttempt(1), hexID(0xa1))
	p.Sweep(keepAliveAfter + SweepInterval)
	transport.handler.OnData(encodeAnswer("n1", "PONG", ""))
	p.start(firstAttempt(2), hexID(0xb2))
	if len(p.transports) != 1 || transport.Closed {
		t.Errorf("%d connections, want 1; first connection closed: %v, want false", len(p.transports), transport.Closed)
	}
}

// Guards against connections that are kept for ever: the network has cut one off, and its last attempt is cancelled while
// its keep-alive check is unanswered.
func TestConnectionWithOnlyAKeepAliveCheckIsIdle(t *testing.T) {
	for _, test := range []struct {
		name  string
		state policy.WorkerState
		after time.Duration // until the connection must be closed
	}{
		{"ready worker", policy.Ready, 31 * time.Second}, // more than the workers' idle timeout
		{"worker that is gone", policy.Gone, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newTestPool()
			now := time.Hour
			p.Sweep(now)
			transport := p.startOnOpenConnection(firstAttempt(1), hexID(0xa1))
			now += keepAliveAfter + SweepInterval
			p.Sweep(now)
			if !transport.wrote("NOOP") {
				t.Fatalf("wrote %q, want a keep-alive check", transport.Written.String())
			}
			p.CancelAttempt(workerID, firstAttempt(1))
			p.UpdateEndpoint(workerID, workerAddress, test.state, 0)
			p.Sweep(now + test.after)
			if !transport.Closed {
				t.Error("the connection is open, want it closed")
			}
		})
	}
}

// Guards against keep-alive checks that stay pending for ever because a worker answers requests but not the checks: each
// would take memory, and the connection would never be idle.
func TestAnyAnswerEndsTheKeepAliveCheck(t *testing.T) {
	p := newTestPool()
	now := time.Hour
	p.Sweep(now)
	transport := p.startOnOpenConnection(firstAttempt(1), hexID(1))
	for n := 1; n <= 100; n++ {
		now += keepAliveAfter + SweepInterval
		p.Sweep(now)
		transport.handler.OnData(encodeAnswer(hexID(n), "HIT", ""))
		p.start(firstAttempt(n+1), hexID(n+1))
	}
	c := p.workers[workerID].connections[0]
	if checks := strings.Count(transport.Written.String(), "NOOP"); checks != 100 || len(c.pending) != 1 {
		t.Errorf("%d calls are pending after %d keep-alive checks, want 1 after 100", len(c.pending), checks)
	}
}
