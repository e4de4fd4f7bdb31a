package backend

import (
	"errors"
	"testing"
	"time"
)

// Guards against attempts that reach a worker long after their clients have gone: they waited, written, for a worker that
// took no bytes. They must wait unwritten, so that they can be withdrawn, and carry the budget that is left.
func TestAttemptsWaitWhileTheWorkerTakesNothing(t *testing.T) {
	p := newTestPool()
	transport := p.startOnOpenConnection(firstAttempt(1), hexID(0xa1))
	p.cfg.MaxConnections = 1
	transport.unsent = 1
	withdrawn, kept := firstAttempt(2), firstAttempt(3)
	p.cfg.MaxStreamsPerConnection = 3
	p.start(withdrawn, hexID(0xa2))
	p.start(kept, hexID(0xa3))
	if sendable := p.SendableAttempts(nil); len(sendable) != 0 || transport.wrote(hexID(0xa2)) || transport.wrote(hexID(0xa3)) {
		t.Errorf("attempts %v can be sent, and %q was written, while the worker takes nothing", sendable, transport.Written.String())
	}
	if !p.CancelUnsent(withdrawn) {
		t.Error("an attempt that waits for the worker can't be withdrawn")
	}
	transport.unsent = 0
	p.SetNow(200 * time.Millisecond)
	p.sendAttempts()
	if transport.wrote(hexID(0xa2)) || !transport.wrote(hexID(0xa3)) || !transport.wrote("budget=800") {
		t.Errorf("wrote %q, want only the attempt that was not withdrawn, with a budget of 800 ms", transport.Written.String())
	}
}

// Guards against attempts that reach a worker long after their clients have gone: what the kernel holds for a worker that
// takes no bytes can only be taken back with its connection.
func TestConnectionOfUndeliveredWithdrawnAttemptIsClosed(t *testing.T) {
	const wholeAttempt = 1 << 20 // more than any attempt
	for _, test := range []struct {
		name        string
		undelivered int
		laterCall   bool // another attempt is written after the withdrawal
		answered    bool // the attempt before the withdrawn one is answered
		allowCancel bool
		wantClosed  bool
	}{
		{name: "delivered"},
		{name: "not delivered", undelivered: wholeAttempt, wantClosed: true},
		{name: "not delivered, with cancel command", undelivered: wholeAttempt, allowCancel: true, wantClosed: true},
		{name: "last byte not delivered", undelivered: 1, wantClosed: true},
		{name: "delivered before another attempt", undelivered: 1, laterCall: true},
		{name: "earlier attempt answered", undelivered: 1, answered: true, wantClosed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			logged := captureLog(t)
			p := newTestPool()
			p.cfg.AllowCancel = test.allowCancel
			p.cfg.MaxConnections = 1
			p.cfg.MaxStreamsPerConnection = 3
			transport := p.startOnOpenConnection(firstAttempt(1), hexID(0xa1))
			withdrawn := firstAttempt(2)
			p.start(withdrawn, hexID(0xa2))
			if test.answered {
				transport.handler.OnData(encodeAnswer(hexID(0xa1), "HIT", ""))
			}
			p.CancelUnsent(withdrawn)
			p.CancelAttempt(workerID, withdrawn)
			if test.laterCall {
				p.start(firstAttempt(3), hexID(0xa3))
			}
			transport.undelivered = test.undelivered
			if next := p.CheckDeliveries(p.now); next != deliveryGrace || transport.Closed {
				t.Errorf("the next check is due at %v, want %v; closed: %v, want false", next, deliveryGrace, transport.Closed)
			}
			p.CheckDeliveries(deliveryGrace)
			if transport.Closed != test.wantClosed {
				t.Errorf("connection closed: %v, want %v", transport.Closed, test.wantClosed)
			}
			if err := logged.lastCloseError(); test.wantClosed != errors.Is(err, errUndelivered) {
				t.Errorf("logged error %v, want %v: %v", err, errUndelivered, test.wantClosed)
			}
			if len(p.withdrawn) != 0 {
				t.Errorf("%d connections are still watched, want none", len(p.withdrawn))
			}
		})
	}
}
