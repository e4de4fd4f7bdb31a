package backend

import (
	"fmt"
	"testing"
	"time"

	"functionrouter/policy"
)

// Guards against sending calls over a connection to a worker that is gone, after another worker was added at the same
// address.
func TestNewWorkerAtReusedAddressGetsNewConnection(t *testing.T) {
	p := newTestPool()
	p.CheckHealth(workerID, 1)
	p.RetainEndpoints(map[policy.WorkerID]bool{2: true})
	p.UpdateEndpoint(2, workerAddress, policy.Ready, 0)
	p.StartAttempt(2, firstAttempt(1), testRequest("0123456789abcdef"), time.Second)
	if len(p.transports) != 2 {
		t.Errorf("%d connections, want 2", len(p.transports))
	}
}

// Guards against calls that go to the old process of a worker that has restarted, over a connection that this process
// keeps open: the connection is not used again, even if its dial seems to have come after the start because clocks differ.
// Its call goes on. A list that tells of the same start again changes nothing.
func TestConnectionsToTheOldProcessAreNotUsed(t *testing.T) {
	const dialedAt = time.Hour
	p := newTestPool()
	p.SetNow(dialedAt)
	old := p.startOnOpenConnection(firstAttempt(1), hexID(1))
	p.SetNow(dialedAt + 5*time.Second)
	const startedAt = dialedAt - time.Second // by a clock that is behind
	p.UpdateEndpoint(workerID, workerAddress, policy.Ready, startedAt)
	p.start(firstAttempt(2), hexID(2))
	p.lastTransport().handler.OnOpen(nil)
	if old.attemptsWritten(hexID(2)) > 0 || old.Closed {
		t.Errorf("the old connection got the new attempt: %v, want false; closed: %v, want false",
			old.attemptsWritten(hexID(2)) > 0, old.Closed)
	}
	p.SetNow(dialedAt + 6*time.Second)
	p.UpdateEndpoint(workerID, workerAddress, policy.Ready, startedAt)
	p.start(firstAttempt(3), hexID(3))
	old.handler.OnData(encodeAnswer(hexID(1), "HIT", "done"))
	if len(p.transports) != 2 || p.recorder.attempts[firstAttempt(1)][0] != policy.Served {
		t.Errorf("%d connections, want 2; the first attempt ended with %v, want %v",
			len(p.transports), p.recorder.attempts[firstAttempt(1)], policy.Served)
	}
}

// Guards against unlimited growth of recentIDs when many attempts are cancelled, and against losing the pending calls
// of a connection when it is full and another connection replaces it.
func TestCancellationsDoNotResetPendingCalls(t *testing.T) {
	p := newTestPool()
	pending := firstAttempt(9999)
	first := p.startOnOpenConnection(pending, hexID(0xff))
	for i := range maxRecentIDs + 10 {
		a := firstAttempt(i)
		p.start(a, hexID(1<<20+i))
		p.CancelAttempt(workerID, a)
	}
	if ended := p.recorder.attempts[pending]; first.Closed || len(ended) != 0 || len(p.transports) != 2 {
		t.Errorf("first connection closed: %v, want false; its pending attempt ended with %v, want no outcome; "+
			"%d connections, want 2", first.Closed, ended, len(p.transports))
	}
	if n := len(p.workers[workerID].connections[0].recentIDs.current); n != maxRecentIDs {
		t.Errorf("%d recent IDs, want %d", n, maxRecentIDs)
	}
}

// Guards against running out of file descriptors: the number of connections to all workers is limited, and at the limit
// an idle connection is closed before another is dialed.
func TestTotalConnectionsAreBounded(t *testing.T) {
	p := newTestPool()
	p.cfg.MaxConnections = 3
	for i := range 5 {
		w := policy.WorkerID(i + 1)
		p.UpdateEndpoint(w, fmt.Sprintf("127.0.0.1:%d", w), policy.Ready, 0)
		p.StartAttempt(w, firstAttempt(i), testRequest(hexID(i)), time.Second)
	}
	if len(p.transports) != 3 || p.recorder.attempts[firstAttempt(4)][0] != policy.NotSent {
		t.Fatalf("%d connections, want 3; attempts ended with %v, want %v for the last one",
			len(p.transports), p.recorder.attempts, policy.NotSent)
	}
	first := p.transports[0]
	first.handler.OnOpen(nil)
	first.handler.OnData(encodeAnswer(hexID(0), "HIT", ""))
	p.StartAttempt(5, firstAttempt(9), testRequest(hexID(0xff)), time.Second)
	if len(p.transports) != 4 || !first.Closed {
		t.Errorf("%d connections, want 4; idle connection closed: %v, want true", len(p.transports), first.Closed)
	}
}

// Guards against losing most of a worker's calls with one connection: the pool must spread them over several
// connections.
func TestBrokenConnectionEndsFewCalls(t *testing.T) {
	p := newTestPool()
	p.cfg.MaxStreamsPerConnection = 32
	const calls = 24
	start := func(n int) {
		p.start(firstAttempt(n), hexID(n))
		p.lastTransport().handler.OnOpen(nil)
	}
	for n := range calls {
		start(n)
	}
	if want := calls / attemptsBeforeDial; len(p.transports) != want {
		t.Fatalf("%d connections, want %d", len(p.transports), want)
	}
	p.transports[0].handler.OnClose(nil)
	if ended := len(p.recorder.attempts); ended != attemptsBeforeDial {
		t.Errorf("the loss of one connection ended %d of %d calls, want %d", ended, calls, attemptsBeforeDial)
	}
	for n := calls; n < 100; n++ { // at the limit on connections, attempts are spread evenly
		start(n)
	}
	connections := p.workers[workerID].connections
	for _, c := range connections {
		if c.pendingAttempts < 9 || c.pendingAttempts > 10 {
			t.Errorf("one of %d connections carries %d attempts, want 9 or 10", len(connections), c.pendingAttempts)
		}
	}
}

// Guards against blocking a worker that gets thousands of attempts per second: connections that are full of recent IDs
// must be replaced, and after the next sweep the limit on the worker's connections must not include them.
func TestConnectionsFullOfRecentIDsAreReplaced(t *testing.T) {
	p := newTestPool()
	for i := range maxConnectionsPerWorker*maxRecentIDs + 1 {
		a := firstAttempt(i)
		p.start(a, hexID(i))
		if last := p.lastTransport(); len(p.workers[workerID].connections) > 0 && !last.wrote(hexID(i)) && i%maxRecentIDs == 0 {
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
	final := firstAttempt(1 << 20)
	p.start(final, hexID(1<<20))
	if ended := p.recorder.attempts[final]; len(ended) > 0 {
		t.Errorf("an attempt after %d others ended with %v, want no outcome",
			maxConnectionsPerWorker*maxRecentIDs, ended)
	}
}
