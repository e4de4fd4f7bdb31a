package backend

import (
	"errors"
	"testing"
	"time"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// Guards against a duplicate of an answer. With a duplicate of "not loaded", for example, the next attempt of the
// same request would count as one that never ran, and the request would be sent once more.
func TestDuplicateAnswerEndsNoLaterAttempt(t *testing.T) {
	p := newTestPool()
	const id = "0123456789abcdef"
	first := router.AttemptID{Request: 1}
	second := router.AttemptID{Request: 1, Number: 1}
	transport := p.startOpen(first, id)
	transport.handler.OnData(encodeAnswer(id, "NONE", ""))
	p.start(second, id)
	transport.handler.OnData(encodeAnswer(id, "NONE", ""))
	transport.handler.OnData(encodeAnswer("unknown", "HIT", "ahead"))
	if ended := p.results.attempts[second]; len(ended) != 0 || transport.Closed || len(p.transports) != 2 {
		t.Fatalf("second attempt ended %v on %d connections", ended, len(p.transports))
	}
	p.transports[1].handler.OnOpen(nil)
	p.transports[1].handler.OnData(encodeAnswer(id, "HIT", "done"))
	ended := p.results.attempts[second]
	body := p.results.bodies[second]
	if len(ended) != 1 || body != "done" || len(p.carriers(id)) != 2 {
		t.Errorf("second attempt ended %v with %q", ended, body)
	}
	for now := time.Duration(0); now <= 3*recentIDLifetime; now += SweepInterval {
		p.Sweep(now)
	}
	for _, c := range p.workers[workerID].connections {
		if c.recentIDs.len()+len(c.pending) != 0 {
			t.Errorf("a connection still remembers %d ids", c.recentIDs.len())
		}
	}
}

// Guards healthy workers against connections that break while a health check is pending: it is sent again over another
// one, so that only a worker that refuses the connection, or breaks all of them, fails the health check.
func TestHealthCheckOutlivesItsConnection(t *testing.T) {
	const control = 7
	for _, test := range []struct {
		name   string
		resets int
		last   func(transport *fakeTransport)
		want   policy.Outcome
	}{
		{"healthy worker", 1, func(transport *fakeTransport) {
			transport.handler.OnOpen(nil)
			transport.handler.OnData([]byte("*2\r\n$2\r\np7\r\n$4\r\nPONG\r\n"))
		}, policy.Served},
		{"dead worker", 1, func(transport *fakeTransport) {
			transport.handler.OnOpen(errors.New("refused"))
		}, policy.Unreachable},
		{"worker that breaks all connections", maxHealthCheckResends, func(transport *fakeTransport) {
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
				if ended := p.results.controls[control]; len(ended) != 0 || len(p.transports) != i+2 {
					t.Fatalf("ended %v on %d connections", ended, len(p.transports))
				}
			}
			test.last(p.transports[test.resets])
			ended := p.results.controls[control]
			if len(ended) != 1 || ended[0] != test.want || len(p.transports) != test.resets+1 {
				t.Errorf("ended %v on %d connections", ended, len(p.transports))
			}
		})
	}
}

// Guards against leaks over long runs: generations of workers come and go, some at an address that was another's,
// and the pool keeps nothing about those that are gone.
func TestNothingIsKeptOfGoneWorkers(t *testing.T) {
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
		t.Errorf("%d workers and %d attempts stay", len(p.workers), len(p.attempts))
	}
}

// runGeneration has w replace all workers, take an attempt and a load command, and go.
func runGeneration(p *testPool, w policy.WorkerID, number int) {
	p.RetainEndpoints(map[policy.WorkerID]bool{w: true})
	p.UpdateEndpoint(w, workerAddress, policy.Ready, 0)
	a := attemptID(number)
	p.StartAttempt(w, a, testRequest(hexID(number)), time.Second)
	p.LoadInstance(w, 7, 1, router.ControlID(number))
	transport := p.last()
	transport.handler.OnOpen(nil)
	if number%2 == 0 {
		transport.handler.OnData(encodeAnswer(hexID(number), "HIT", ""))
	} else {
		p.CancelAttempt(w, a)
	}
	p.CancelControl(w, router.ControlID(number))
	p.RetainEndpoints(nil)
}

// deliverCloses calls OnClose of each closed transport's handler, once each.
func (p *testPool) deliverCloses() {
	for _, transport := range p.transports {
		if transport.Closed && transport.handler != nil {
			transport.handler.OnClose(nil)
			transport.handler = nil
		}
	}
}

// Guards workers against cancels that the settings do not allow. An attempt that has not been sent is cancelled without
// a message.
func TestCancelIsSentOnlyWhereAllowed(t *testing.T) {
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
	sent := attemptID(1)
	queued := attemptID(2)
	transport := p.startOpen(sent, hexID(0xa1))
	if p.CancelUnsent(sent) {
		t.Error("an attempt that was written was cancelled as unsent")
	}
	p.CancelAttempt(workerID, sent)
	if got := transport.wrote("STOP\r\n"); got != allowed {
		t.Errorf("a cancel was sent: %v", got)
	}
	p.UpdateEndpoint(workerID, "127.0.0.1:2", policy.Ready, 0) // the next attempt waits for a dial
	p.start(queued, hexID(0xa2))
	second := p.transports[1]
	if !p.CancelUnsent(queued) {
		t.Error("an attempt that waits was not cancelled")
	}
	if p.CancelUnsent(queued) {
		t.Error("an attempt was cancelled twice")
	}
	second.handler.OnOpen(nil)
	if second.Written.Len() > 0 || len(p.results.attempts) > 0 {
		t.Errorf("wrote %q, ended %v", second.Written.String(), p.results.attempts)
	}
}
