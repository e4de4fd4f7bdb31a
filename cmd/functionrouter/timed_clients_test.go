package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// latestAnswer is how much later than the end of its client's wait an answer may arrive: the settings' answerSlackMs
// of 8 ms, and the 50 ms by which the operators' protocol extends every time limit on sockets.
const latestAnswer = 58 * time.Millisecond

// timedCallInterval is the time between two calls of a client of timedClients.
const timedCallInterval = 40 * time.Millisecond

// timedLoad describes the calls of timedClients.
type timedLoad struct {
	clients      int
	seed         uint64 // the waits and ids are drawn from it
	shortestWait time.Duration
	longestWait  time.Duration
	classes      []string // used in turn
}

// crossingTime is how long before the router closes a connection a call on it may have been sent for its client to send it
// again on a new connection, one time, as the operators' protocol says.
const crossingTime = 50 * time.Millisecond

// timedClients runs well-behaved clients that send calls at a steady pace without waiting for answers, and records when the
// answers come. A client keeps its connection, and opens another one if the router closes it.
type timedClients struct {
	t       *testing.T
	address string
	load    timedLoad
	stopped chan struct{}
	linger  time.Duration // how long the connections stay open after stopped is closed
	senders sync.WaitGroup

	mu     sync.Mutex
	calls  []*timedCall
	ending bool     // the router is about to be killed
	faults []string // connections that could not be opened, and answers without a call
}

// timedCall is a call of timedClients.
type timedCall struct {
	class    string
	id       string
	wait     time.Duration
	sentAt   time.Time
	resent   bool // on another connection
	answered bool
	// endOfConnection describes how the connection ended that the call was sent on, if it did.
	endOfConnection string
	status          string
	late            time.Duration // time of the answer after the end of the wait; negative: before it
}

// timedConnection is a connection of a client of timedClients.
type timedConnection struct {
	*testClient
	open  map[uint32]*timedCall // calls without an answer, by sequence number; guarded by timedClients.mu
	ended chan struct{}         // closed when the connection has ended
}

// startTimedClients starts clients, which send until stop or killed is called.
func startTimedClients(t *testing.T, h *harness, load timedLoad) *timedClients {
	t.Helper()
	c := &timedClients{t: t, address: h.listen, load: load, stopped: make(chan struct{})}
	for i := range load.clients {
		random := rand.New(rand.NewPCG(load.seed, uint64(i)))
		c.senders.Go(func() { c.send(random) })
	}
	return c
}

// connect opens a connection and reads its answers. It returns nil if it can't be opened.
func (c *timedClients) connect() *timedConnection {
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		c.recordFault(fmt.Sprintf("a client can't connect: %v", err))
		return nil
	}
	connection := &timedConnection{
		testClient: &testClient{Conn: conn, t: c.t},
		open:       map[uint32]*timedCall{},
		ended:      make(chan struct{}),
	}
	go c.read(connection)
	return connection
}

// send sends calls of one client until the clients are stopped, and then ends its connection after a time.
func (c *timedClients) send(random *rand.Rand) {
	connection := c.connect()
	ticks := time.NewTicker(timedCallInterval)
	defer ticks.Stop()
	for n := 0; connection != nil; {
		select {
		case <-c.stopped:
			time.Sleep(c.linger)
			_ = connection.Close() // the router may have closed it
			<-connection.ended
			return
		case <-connection.ended:
			connection = c.reconnect(connection)
		case <-ticks.C:
			c.sendCall(connection, c.newCall(random, n))
			n++
		}
	}
}

// newCall draws a call.
func (c *timedClients) newCall(random *rand.Rand, n int) *timedCall {
	call := &timedCall{
		class: c.load.classes[n%len(c.load.classes)],
		id:    fmt.Sprintf("%016x", random.Uint64()),
		wait:  c.load.shortestWait + time.Duration(random.Int64N(int64(c.load.longestWait-c.load.shortestWait))),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
	return call
}

// sendCall sends a call. If the connection has ended, it stays without an answer, and reconnect may send it again.
func (c *timedClients) sendCall(connection *timedConnection, call *timedCall) {
	frame := connection.callFrame(call.class, call.id, call.class+" "+call.id, call.wait, "props", functionProperties)
	c.mu.Lock()
	connection.open[connection.lastSequence] = call
	call.sentAt = time.Now()
	c.mu.Unlock()
	_, _ = connection.Write(frame)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !call.answered {
		call.sentAt = time.Now() // the time of the last byte counts
	}
}

// reconnect opens another connection after one has ended, and sends the calls again that may have crossed its end.
func (c *timedClients) reconnect(ended *timedConnection) *timedConnection {
	endedAt := time.Now()
	connection := c.connect()
	if connection == nil {
		return nil
	}
	var crossed []*timedCall
	c.mu.Lock()
	for _, call := range ended.open {
		call.endOfConnection = fmt.Sprintf("client %v, sent %v before the end of its connection, at %v",
			ended.LocalAddr(), endedAt.Sub(call.sentAt), endedAt.Format(time.TimeOnly+".000"))
		if !call.resent && endedAt.Sub(call.sentAt) <= crossingTime {
			call.resent = true
			crossed = append(crossed, call)
		}
	}
	c.mu.Unlock()
	for _, call := range crossed {
		c.sendCall(connection, call)
	}
	return connection
}

// read records the answers on a connection until it ends.
func (c *timedClients) read(connection *timedConnection) {
	defer close(connection.ended)
	defer func() { _ = connection.Close() }() // the router may have closed it
	reader := &testClient{Conn: connection.Conn, t: c.t}
	for {
		sequence, status, _, err := reader.readReply()
		now := time.Now()
		if err != nil {
			return
		}
		c.recordAnswer(connection, sequence, status, now)
	}
}

// isClosed reports whether a channel on which nothing is sent is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// recordFault records a fault, unless the test is ending the router.
func (c *timedClients) recordFault(fault string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending && !isClosed(c.stopped) {
		c.faults = append(c.faults, fault)
	}
}

// recordAnswer records the answer to the call with a sequence number.
func (c *timedClients) recordAnswer(connection *timedConnection, sequence uint32, status string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := connection.open[sequence]
	if call == nil {
		c.faults = append(c.faults, fmt.Sprintf("a second answer, or one without a call: sequence %d", sequence))
		return
	}
	delete(connection.open, sequence)
	call.answered = true
	call.status = status
	call.late = now.Sub(call.sentAt.Add(call.wait))
}

// timedResult summarizes the calls of timedClients.
type timedResult struct {
	calls, served int
	unanswered    []*timedCall
	unserved      []*timedCall // answered with another status than served, in ascending order of late
	faults        []string
}

// stop ends the clients once all answers are due, and returns the result.
func (c *timedClients) stop() timedResult {
	c.linger = c.load.longestWait + answerTolerance
	return c.end(time.Now().Add(time.Hour))
}

// killed calls kill, which ends the router, and returns the result of the calls sent before. Calls that were sent so
// shortly before the kill that their answers may have been on their way are left out.
func (c *timedClients) killed(kill func()) timedResult {
	sentBefore := time.Now().Add(-crossingTime)
	c.mu.Lock()
	c.ending = true
	c.mu.Unlock()
	kill()
	return c.end(sentBefore)
}

// end ends the clients and returns the result of the calls that were sent before a time.
func (c *timedClients) end(sentBefore time.Time) timedResult {
	close(c.stopped)
	c.senders.Wait()
	result := timedResult{faults: c.faults}
	for _, call := range c.calls {
		if call.sentAt.IsZero() || call.sentAt.After(sentBefore) {
			continue
		}
		result.calls++
		switch {
		case !call.answered:
			result.unanswered = append(result.unanswered, call)
		case call.status == "served":
			result.served++
		default:
			result.unserved = append(result.unserved, call)
		}
	}
	slices.SortFunc(result.unserved, func(a, b *timedCall) int { return cmp.Compare(a.late, b.late) })
	return result
}

func (r *timedResult) String() string {
	if len(r.unserved) == 0 {
		return fmt.Sprintf("%d calls, %d served, %d unanswered", r.calls, r.served, len(r.unanswered))
	}
	return fmt.Sprintf("%d calls, %d served, %d unanswered; %d others were answered relative to the end of their wait: median %v, worst %v",
		r.calls, r.served, len(r.unanswered), len(r.unserved), r.unserved[len(r.unserved)/2].late, r.unserved[len(r.unserved)-1].late)
}

// expectAnswersInTime fails the test if a call has no answer or a late one.
func (r *timedResult) expectAnswersInTime(t *testing.T) {
	t.Helper()
	t.Log(r)
	if len(r.faults) > 0 {
		t.Errorf("faults: %s", strings.Join(r.faults, "; "))
	}
	for _, call := range r.unanswered {
		t.Errorf("call %s has no answer; sent at %s with a wait of %v, resent: %v; %s",
			call.id, call.sentAt.Format(time.TimeOnly+".000"), call.wait, call.resent, call.endOfConnection)
	}
	for _, call := range r.unserved {
		if call.late > latestAnswer {
			t.Errorf("call %s was answered %v after the end of its client's wait, want at most %v; sent at %s with a wait of %v, resent: %v; %s",
				call.id, call.late, latestAnswer, call.sentAt.Format(time.TimeOnly+".000"), call.wait, call.resent, call.endOfConnection)
		}
	}
}

// startForgetfulWorker starts a worker that never answers a third of the requests.
func startForgetfulWorker(t *testing.T) *fakeWorker {
	t.Helper()
	const answeredOf3 = 2
	w := newListeningWorker(t)
	w.startAccepting()
	go func() {
		for n := 0; ; n++ {
			r := <-w.requests
			if n%3 < answeredOf3 {
				r.respond("HIT", r.body)
			}
		}
	}()
	return w
}
