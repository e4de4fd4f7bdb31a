package backend

import (
	"errors"
	"testing"
	"time"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// Guards against a duplicate answer that ends a later attempt of the same request. A duplicate NONE, for example, would
// mark the later attempt as one that never ran, and the request would be sent again.
func TestDuplicateAnswerDoesNotEndLaterAttempt(t *testing.T) {
	p := newTestPool()
	const id = "0123456789abcdef"
	first := router.AttemptID{Request: 1}
	second := router.AttemptID{Request: 1, Number: 1}
	transport := p.startOnOpenConnection(first, id)
	transport.handler.OnData(encodeAnswer(id, "NONE", ""))
	p.start(second, id)
	transport.handler.OnData(encodeAnswer(id, "NONE", ""))
	transport.handler.OnData(encodeAnswer("unknown", "HIT", "ahead"))
	if ended := p.recorder.attempts[second]; len(ended) != 0 || transport.Closed || len(p.transports) != 2 {
		t.Fatalf("second attempt ended with %v, want no outcome; first connection closed: %v, want false; "+
			"%d connections, want 2", ended, transport.Closed, len(p.transports))
	}
	p.transports[1].handler.OnOpen(nil)
	p.transports[1].handler.OnData(encodeAnswer(id, "HIT", "done"))
	ended := p.recorder.attempts[second]
	body := p.recorder.bodies[second]
	if len(ended) != 1 || body != "done" || len(p.transportsWithAttempt(id)) != 2 {
		t.Errorf("second attempt ended with %v and body %q, want one outcome and %q; "+
			"attempts written to the connections %v, want two", ended, body, "done", p.transportsWithAttempt(id))
	}
	for now := time.Duration(0); now <= 3*p.cfg.RecentIDLifetime; now += SweepInterval {
		p.Sweep(now)
	}
	for _, c := range p.workers[workerID].connections {
		if c.recentIDs.len()+len(c.pending) != 0 {
			t.Errorf("a connection still holds %d recent IDs and %d calls, want none",
				c.recentIDs.len(), len(c.pending))
		}
	}
}

// Guards against failing the health check of a healthy worker because one connection was lost. The health check is sent
// again over another connection, so it fails only if the dial is refused or every connection is lost.
func TestHealthCheckIsResentAfterConnectionReset(t *testing.T) {
	const control = 7
	for _, test := range []struct {
		name   string
		resets int                            // connections that are reset before the last one
		last   func(transport *fakeTransport) // applies the events of the last connection
		want   policy.Outcome
	}{
		{"healthy worker", 1, func(transport *fakeTransport) {
			transport.handler.OnOpen(nil)
			transport.handler.OnData(encodeAnswer("p7", "PONG", ""))
		}, policy.Served},
		{"worker that refuses the dial", 1, func(transport *fakeTransport) {
			transport.handler.OnOpen(errors.New("refused"))
		}, policy.Unreachable},
		{"worker that resets every connection", maxHealthCheckResends, func(transport *fakeTransport) {
			transport.handler.OnOpen(nil)
			transport.handler.OnClose(errors.New("reset"))
		}, policy.ConnectionReset},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newTestPool()
			p.CheckHealth(workerID, control)
			for i := range test.resets {
				p.transports[i].handler.OnOpen(nil)
				p.transports[i].handler.OnClose(errors.New("reset"))
				if ended := p.recorder.controls[control]; len(ended) != 0 || len(p.transports) != i+2 {
					t.Fatalf("after reset %d: the health check ended with %v, want no outcome; %d connections, want %d",
						i+1, ended, len(p.transports), i+2)
				}
			}
			test.last(p.transports[test.resets])
			ended := p.recorder.controls[control]
			if len(ended) != 1 || ended[0] != test.want || len(p.transports) != test.resets+1 {
				t.Errorf("the health check ended with %v, want [%v]; %d connections, want %d",
					ended, test.want, len(p.transports), test.resets+1)
			}
		})
	}
}

// Guards against memory leaks: workers are added and removed 200 times, all at the same address, and the pool must keep
// no state of workers that are gone.
func TestGoneWorkersAreRemoved(t *testing.T) {
	p := newTestPool()
	now := time.Duration(0)
	for generation := range 200 {
		w := policy.WorkerID(generation + 2)
		runGeneration(p, w, generation)
		for range 3 {
			now += SweepInterval
			p.Sweep(now)
			p.deliverCloses()
		}
	}
	if len(p.workers)+len(p.attempts) != 0 {
		t.Errorf("%d workers and %d attempts are still stored, want none", len(p.workers), len(p.attempts))
	}
}

// runGeneration replaces all workers by w, sends w an attempt and a load command, and removes w.
func runGeneration(p *testPool, w policy.WorkerID, number int) {
	p.RetainEndpoints(map[policy.WorkerID]bool{w: true})
	p.UpdateEndpoint(w, workerAddress, policy.Ready, 0)
	a := firstAttempt(number)
	p.StartAttempt(w, a, testRequest(hexID(number)), time.Second)
	p.LoadInstance(w, 7, 1, router.ControlID(number))
	transport := p.lastTransport()
	transport.handler.OnOpen(nil)
	if number%2 == 0 {
		transport.handler.OnData(encodeAnswer(hexID(number), "HIT", ""))
	} else {
		p.CancelAttempt(w, a)
	}
	p.CancelControl(w, router.ControlID(number))
	p.RetainEndpoints(nil)
}

// deliverCloses calls OnClose once on the handler of each closed transport.
func (p *testPool) deliverCloses() {
	for _, transport := range p.transports {
		if transport.Closed && transport.handler != nil {
			transport.handler.OnClose(nil)
			transport.handler = nil
		}
	}
}

// Guards against sending a cancel command that Config.AllowCancel does not allow, or for an attempt that was never
// sent.
func TestCancelIsSentOnlyIfAllowed(t *testing.T) {
	for _, test := range []struct {
		name    string
		allowed bool
	}{
		{"allowed", true},
		{"not allowed", false},
	} {
		t.Run(test.name, func(t *testing.T) { testCancel(t, test.allowed) })
	}
}

func testCancel(t *testing.T, allowed bool) {
	t.Helper()
	p := newTestPool()
	p.cfg.AllowCancel = allowed
	sent := firstAttempt(1)
	queued := firstAttempt(2)
	transport := p.startOnOpenConnection(sent, hexID(0xa1))
	if p.CancelUnsent(sent) {
		t.Error("CancelUnsent cancelled an attempt that was written")
	}
	p.CancelAttempt(workerID, sent)
	if got := transport.wrote("STOP\r\n"); got != allowed {
		t.Errorf("cancel command sent: %v, want %v", got, allowed)
	}
	p.UpdateEndpoint(workerID, "127.0.0.1:2", policy.Ready, 0) // the next attempt waits for a dial
	p.start(queued, hexID(0xa2))
	second := p.transports[1]
	if !p.CancelUnsent(queued) {
		t.Error("CancelUnsent did not cancel a queued attempt")
	}
	if p.CancelUnsent(queued) {
		t.Error("CancelUnsent cancelled an attempt a second time")
	}
	second.handler.OnOpen(nil)
	if second.Written.Len() > 0 || len(p.recorder.attempts) > 0 {
		t.Errorf("wrote %q after the dial, want nothing; attempts ended with %v, want no outcomes",
			second.Written.String(), p.recorder.attempts)
	}
}
