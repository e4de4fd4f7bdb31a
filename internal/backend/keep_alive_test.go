package backend

import (
	"errors"
	"strings"
	"testing"
	"time"

	"functionrouter/policy"
)

// Guards against a connection that was cut off: it stays open and silent while its worker is healthy.
// No more calls are sent over it, and those pending on it end. A worker that is silent on all connections keeps them: the
// policy judges the worker, by health checks.
func TestSilentConnectionIsClosedIfItsWorkerAnswersOnAnother(t *testing.T) {
	for _, test := range []struct {
		name    string
		healthy bool
	}{
		{"healthy worker", true},
		{"silent worker", false},
	} {
		t.Run(test.name, func(t *testing.T) { testSilentConnection(t, test.healthy) })
	}
}

func testSilentConnection(t *testing.T, healthy bool) {
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
	a := attemptID(1)
	silent := p.startOpen(a, hexID(0xa1))
	sweepFor(keepAliveAfter + SweepInterval)
	if got := silent.Written.String(); strings.Count(got, "NOOP") != 1 {
		t.Fatalf("no keep-alive check was sent: %q", got)
	}
	sweepFor(SweepInterval)
	p.start(attemptID(2), hexID(0xb2))
	if on := p.carriers(hexID(0xb2)); len(p.transports) != 2 || len(on) != 0 {
		t.Fatalf("a silent connection was chosen, of %d", len(p.transports))
	}
	other := p.transports[1]
	other.handler.OnOpen(nil)
	sweepFor(SweepInterval)
	if healthy {
		other.handler.OnData(encodeAnswer(hexID(0xb2), "HIT", ""))
	}
	if silent.Closed {
		t.Fatal("closed before its keep-alive check timed out")
	}
	sweepFor(keepAliveTimeout + SweepInterval)
	if silent.Closed != healthy {
		t.Errorf("silent connection closed: %v", silent.Closed)
	}
	if err := logged.lastError("worker connection closed"); errors.Is(err, errUnresponsiveConnection) != healthy {
		t.Errorf("logged %v", err)
	}
	silent.handler.OnClose(nil)
	if ended := p.results.attempts[a]; len(ended) != 1 || ended[0] != policy.ConnectionReset {
		t.Errorf("ended %v", ended)
	}
}

func TestAnsweredKeepAliveMakesAConnectionEligibleAgain(t *testing.T) {
	p := newTestPool()
	transport := p.startOpen(attemptID(1), hexID(0xa1))
	p.Sweep(keepAliveAfter + SweepInterval)
	transport.handler.OnData([]byte("*2\r\n$2\r\nn1\r\n$4\r\nPONG\r\n"))
	p.start(attemptID(2), hexID(0xb2))
	if len(p.transports) != 1 || transport.Closed {
		t.Error("a connection that answered was left")
	}
}
