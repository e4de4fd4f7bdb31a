package backend

import (
	"fmt"
	"testing"
	"time"

	"functionrouter/policy"
)

// Guards against a worker that took over the address of one that has gone.
func TestNewWorkerAtAnOldAddressGetsItsOwnConnection(t *testing.T) {
	p := newTestPool()
	p.CheckHealth(workerID, 1)
	p.RetainEndpoints(map[policy.WorkerID]bool{2: true})
	p.UpdateEndpoint(2, workerAddress, policy.Ready, 0)
	p.StartAttempt(2, attemptID(1), testRequest("0123456789abcdef"), time.Second)
	if len(p.transports) != 2 {
		t.Errorf("%d connections", len(p.transports))
	}
}

// Guards against a flood of cancellations: the wire ids that a connection remembers are bounded, and a connection that
// is full is replaced by another without a reset of the calls that are pending on it.
func TestCancellationsCostNoOtherCallItsConnection(t *testing.T) {
	p := newTestPool()
	staying := attemptID(9999)
	first := p.startOpen(staying, hexID(0xff))
	for i := range maxRecentIDs + 10 {
		a := attemptID(i)
		p.start(a, hexID(1<<20+i))
		p.CancelAttempt(workerID, a)
	}
	if ended := p.results.attempts[staying]; first.Closed || len(ended) != 0 || len(p.transports) != 2 {
		t.Errorf("closed %v, ended %v, %d connections", first.Closed, ended, len(p.transports))
	}
	if n := len(p.workers[workerID].connections[0].recentIDs.current); n != maxRecentIDs {
		t.Errorf("%d ids are remembered", n)
	}
}

// Guards the descriptors: connections to all workers together are bounded, and an idle one is closed for a new one.
func TestConnectionsAreBoundedTogether(t *testing.T) {
	p := newTestPool()
	p.cfg.MaxConnections = 3
	for i := range 5 {
		w := policy.WorkerID(i + 1)
		p.UpdateEndpoint(w, fmt.Sprintf("127.0.0.1:%d", w), policy.Ready, 0)
		p.StartAttempt(w, attemptID(i), testRequest(hexID(i)), time.Second)
	}
	if len(p.transports) != 3 || p.results.attempts[attemptID(4)][0] != policy.Unreachable {
		t.Fatalf("%d connections, ended %v", len(p.transports), p.results.attempts)
	}
	first := p.transports[0]
	first.handler.OnOpen(nil)
	first.handler.OnData(encodeAnswer(hexID(0), "HIT", ""))
	p.StartAttempt(5, attemptID(9), testRequest(hexID(0xff)), time.Second)
	if len(p.transports) != 4 || !first.Closed {
		t.Errorf("%d connections, idle one closed: %v", len(p.transports), first.Closed)
	}
}

// Guards calls against each other's connections: one that breaks ends a few of a worker's calls, not most.
func TestBrokenConnectionEndsFewCalls(t *testing.T) {
	p := newTestPool()
	p.cfg.MaxStreamsPerConnection = 32
	const calls = 24
	start := func(n int) {
		p.start(attemptID(n), hexID(n))
		p.last().handler.OnOpen(nil)
	}
	for n := range calls {
		start(n)
	}
	if want := calls / attemptsBeforeDial; len(p.transports) != want {
		t.Fatalf("%d connections, want %d", len(p.transports), want)
	}
	p.transports[0].handler.OnClose(nil)
	if ended := len(p.results.attempts); ended != attemptsBeforeDial {
		t.Errorf("%d of %d calls ended with one connection", ended, calls)
	}
	for n := calls; n < 100; n++ { // at the limit all take their share
		start(n)
	}
	connections := p.workers[workerID].connections
	for _, c := range connections {
		if c.pendingAttempts < 9 || c.pendingAttempts > 10 {
			t.Errorf("%d calls on one of %d connections", c.pendingAttempts, len(connections))
		}
	}
}

// Guards a worker that takes thousands of attempts a second: connections that can carry no more attempts are replaced,
// and do not count towards the limit of the worker's connections for long.
func TestConnectionsFullOfRecentIDsAreReplaced(t *testing.T) {
	p := newTestPool()
	for i := range maxConnectionsPerWorker*maxRecentIDs + 1 {
		a := attemptID(i)
		p.start(a, hexID(i))
		if last := p.last(); len(p.workers[workerID].connections) > 0 && !last.wrote(hexID(i)) && i%maxRecentIDs == 0 {
			last.handler.OnOpen(nil)
		}
		p.CancelAttempt(workerID, a)
	}
	p.Sweep(p.now + SweepInterval)
	for _, transport := range p.transports {
		if transport.Closed {
			transport.handler.OnClose(nil)
		}
	}
	last := attemptID(1 << 20)
	p.start(last, hexID(1<<20))
	if ended := p.results.attempts[last]; len(ended) > 0 {
		t.Errorf("an attempt after %d others ended with %v", maxConnectionsPerWorker*maxRecentIDs, ended)
	}
}
