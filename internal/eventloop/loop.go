// Package eventloop joins nbio's pollers to the one goroutine that owns all state.
//
// Three kinds of goroutines work here:
//
//   - nbio's poller and acceptors, which run from Start to the end of the process. Their callbacks only copy
//     what happened into the event queue.
//   - one goroutine for each dial, and one for each UDP socket. They queue events as well, and end as Dial and
//     DialUDP describe.
//   - the goroutine in Run, "the loop's goroutine". It takes the queued events, calls the handlers of the
//     connections, calls the end-of-turn function once, and then writes what the turn produced, in one gathered
//     write for each connection. All fields of Loop, Conn and UDPConn belong to it unless they say otherwise,
//     and so does the state of all handlers.
//
// The package depends on the behaviour of nbio 1.6.8 in several places; the comments there say on what.
package eventloop

import (
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"functionrouter/internal/logging"
)

// sweepInterval is how often connections are checked for timeouts, and the longest that the loop sleeps.
const sweepInterval = 200 * time.Millisecond

// Config bounds a Loop.
type Config struct {
	MaxAcceptedConnections int // accepted connections at once
	MaxFileDescriptors     int // descriptors of the process
	MaxQueuedBytes         int // received bytes that wait for the loop; beyond it no connection is read
	MaxUnreadBytes         int // bytes that all peers together may leave unread
}

// Loop owns nbio's engine, the event queue and the accepted connections. Create one with New. Post may be called
// on any goroutine, Listen and Start before Run, and all other methods on the loop's goroutine.
type Loop struct {
	cfg       Config
	clock     clock
	engine    *nbio.Engine
	listeners map[string]acceptFunc // by the address asked for; not changed after Start
	bindings  bindings              // not changed after Start
	events    *eventQueue

	// totalUnread counts the bytes that all peers have yet to take. The pollers change it too.
	totalUnread atomic.Int64

	now       time.Duration // of the present turn
	stopped   bool
	accepted  map[*Conn]struct{} // until their close is reported
	unflushed []*Conn            // connections with pending writes
	lastSweep time.Duration
	refusals  logging.Throttle // connections refused for the limit on them

	// Counters of accepted connections since the start.
	Accepted uint64
	Closed   CloseCounts

	interrupted interruptedLog
}

// New returns a Loop that listens nowhere yet.
func New(cfg Config) *Loop {
	c := clock{start: time.Now()}
	return &Loop{
		cfg:         cfg,
		clock:       c,
		listeners:   map[string]acceptFunc{},
		bindings:    bindings{},
		events:      newEventQueue(c, cfg.MaxQueuedBytes),
		now:         c.now(),
		accepted:    map[*Conn]struct{}{},
		refusals:    logging.Throttle{Interval: refusalLogInterval},
		interrupted: newInterruptedLog(),
	}
}

// Now returns the time of the present turn, on the loop's monotonic clock.
func (l *Loop) Now() time.Duration { return l.now }

// TimeFromUnix converts a wall-clock time to the loop's clock.
func (l *Loop) TimeFromUnix(t time.Time) time.Duration { return l.clock.fromWallTime(t) }

// Post schedules call on the loop's goroutine. It never blocks and may be called on any goroutine.
func (l *Loop) Post(call func()) { l.events.push(event{kind: eventCall, call: call}) }

// Run handles events until Stop. In each turn it calls beginTurn with the time, then the handlers of what has
// happened, then endTurn, which returns the time at which it wants to be called again at the latest.
func (l *Loop) Run(beginTurn func(now time.Duration), endTurn func(now time.Duration) time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []event
	for !l.stopped {
		select {
		case <-l.events.wake:
		case <-timer.C:
		}
		batch, l.now = l.events.take(batch)
		beginTurn(l.now)
		for i := range batch {
			l.handle(&batch[i])
			batch[i] = event{} // its data must not live as long as the array
		}
		next := endTurn(l.now)
		l.flush()
		if l.now-l.lastSweep > sweepInterval {
			l.sweep()
		}
		timer.Reset(max(min(next, l.now+sweepInterval)-l.clock.now(), 0))
	}
}

// Stop makes Run return after the present turn.
func (l *Loop) Stop() { l.stopped = true }

func (l *Loop) handle(e *event) {
	switch e.kind {
	case eventData:
		e.conn.handleData(e.data)
	case eventAccepted:
		l.handleAccepted(e.conn)
	case eventClosed:
		l.handleClosed(e.conn, e.err)
	case eventDialed:
		e.conn.handleDialed(e.nbioConn, e.err)
	case eventCall:
		e.call()
	}
}
