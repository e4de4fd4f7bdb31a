package eventloop

import (
	"time"

	"functionrouter/internal/logging"
)

// processPauseThreshold is how much longer than expected a turn or a wait may take. Beyond it the machine is taken to have paused
// the process meanwhile, and the input of the next turn counts as arrived before the pause (InputTime).
//
// It bounds the pause that goes unnoticed, and with it how much too late a request's deadline may be. A pause within a wait
// goes unnoticed if it ends within the wait's timeout, which is at most sweepInterval, and this. Higher, and more answers come
// too late after a pause; lower, and turns that are only long count as pauses, and requests that arrived after them get less
// time than they have.
const processPauseThreshold = 50 * time.Millisecond

// Config bounds a Loop.
type Config struct {
	MaxAcceptedConnections int // accepted connections that are open at once
	MaxUnreadBytes         int // bytes that all peers, accepted and dialed, may leave unread together
}

// Loop owns the poller, the listeners and the connections. Create one with New, call Listen for each address, then Start
// and Run. Post may be called on any goroutine after Start, all other methods on the loop's goroutine alone.
type Loop struct {
	cfg   Config
	clock clock
	calls systemCalls
	poll  *poller // nil before Start
	posts postQueue

	listeners []*listener
	accepted  map[*Conn]struct{}
	dialing   map[*Conn]struct{}
	dialed    map[*Conn]struct{} // connected ones
	udpConns  map[*UDPConn]struct{}

	now             time.Duration // of the present turn
	inputTime       time.Duration // see InputTime
	stopped         bool
	deferred        []func()         // the calls for the next turn
	runningDeferred []func()         // the deferred calls of this turn; both arrays are reused
	unflushed       []*Conn          // with pending writes, or to be closed after their last write
	totalUnread     int              // bytes that all peers have yet to take; Conn.setUnsent keeps it
	readBuffer      []byte           // shared by all sockets
	lastSweep       time.Duration    // when sweep last ran
	refusals        logging.Throttle // connections refused because of Config.MaxAcceptedConnections
	interrupted     interruptedLog

	acceptedCount uint64      // connections accepted since the start
	closeCounts   CloseCounts // accepted connections closed since the start
}

// New returns a Loop without listeners and descriptors.
func New(cfg Config) *Loop {
	c := clock{start: time.Now()}
	return &Loop{
		cfg:         cfg,
		clock:       c,
		calls:       kernelCalls{},
		accepted:    map[*Conn]struct{}{},
		dialing:     map[*Conn]struct{}{},
		dialed:      map[*Conn]struct{}{},
		udpConns:    map[*UDPConn]struct{}{},
		now:         c.now(),
		inputTime:   c.now(),
		readBuffer:  make([]byte, readBufferSize),
		refusals:    logging.Throttle{Interval: refusalLogInterval},
		interrupted: newInterruptedLog(),
	}
}

// Start opens the poller and the listeners. If it fails, nothing is open, and the error says which address can't be
// listened on.
func (l *Loop) Start() error {
	poll, err := newPoller(l.calls)
	if err != nil {
		return err
	}
	l.poll = poll
	for _, listener := range l.listeners {
		if err := listener.open(); err != nil {
			l.closeDescriptors()
			return err
		}
	}
	return nil
}

// Now returns the time of the present turn, on the loop's monotonic clock.
func (l *Loop) Now() time.Duration { return l.now }

// TimeFromWallClock converts a wall-clock time to the loop's clock.
func (l *Loop) TimeFromWallClock(t time.Time) time.Duration { return l.clock.fromWallTime(t) }

// Post schedules call on the loop's goroutine. It never blocks and may be called on any goroutine, after Start.
//
// A call that is posted once the last turn of Run has begun to make the posted ones is not made, nor is one that is posted
// after Run has returned.
func (l *Loop) Post(call func()) {
	l.posts.add(call, l.poll)
}

// deferCall defers call to the next turn. It must be called on the loop's goroutine.
func (l *Loop) deferCall(call func()) { l.deferred = append(l.deferred, call) }

// Run handles events until Stop, and then closes all descriptors without a call of their handlers. In each turn it calls
// beginTurn with the time, then the handlers of what has happened, then endTurn, which returns the time at which it wants to
// be called again at the latest. The loop also turns when there are events, and every 200 ms (sweepInterval).
func (l *Loop) Run(beginTurn func(now time.Duration), endTurn func(now time.Duration) time.Duration) {
	var posted []func()
	nextTurn := l.now
	for !l.stopped {
		timeout := l.timeUntil(nextTurn)
		waitedFrom := l.clock.now()
		events := l.poll.wait(timeout)
		l.startTurn(waitedFrom, timeout)
		beginTurn(l.now)
		l.runDeferred()
		posted = l.runPosted(posted)
		l.poll.dispatch(events)
		l.checkDials()
		l.resumeAccepting()
		nextTurn = min(endTurn(l.now), l.nextCheck(), l.now+sweepInterval)
		l.flush()
		if l.now-l.lastSweep > sweepInterval {
			l.sweep()
		}
	}
	l.posts.close()
	l.closeDescriptors()
}

// startTurn sets the times of a turn for which the loop has waited since waitedFrom, for timeout at most.
func (l *Loop) startTurn(waitedFrom, timeout time.Duration) {
	previousTurn := l.now
	l.now = l.clock.now()
	switch {
	case waitedFrom-previousTurn > processPauseThreshold:
		l.inputTime = previousTurn
	case l.now-waitedFrom > timeout+processPauseThreshold:
		l.inputTime = waitedFrom
	default:
		l.inputTime = l.now
	}
}

// InputTime returns the earliest time at which the input that is read in this turn may have arrived: the present turn's,
// unless the machine has paused the process before it. The peers' deadlines went on during the pause.
func (l *Loop) InputTime() time.Duration { return l.inputTime }

// timeUntil returns how long the poller may wait for a turn that is due at next.
func (l *Loop) timeUntil(next time.Duration) time.Duration {
	if len(l.deferred) > 0 {
		return 0
	}
	return max(next-l.clock.now(), 0)
}

// runDeferred makes the calls that were deferred to this turn. What they defer waits for the next one: the two arrays
// change places.
func (l *Loop) runDeferred() {
	spare := l.runningDeferred[:0]
	l.runningDeferred = l.deferred
	l.deferred = spare
	for i, call := range l.runningDeferred {
		call()
		l.runningDeferred[i] = nil
	}
}

// runPosted makes the calls that other goroutines have posted. It returns their array, for the next turn.
func (l *Loop) runPosted(spare []func()) []func() {
	batch := l.posts.take(spare)
	for i, call := range batch {
		call()
		batch[i] = nil
	}
	return batch
}

// Stop makes Run return after the present turn.
func (l *Loop) Stop() { l.stopped = true }

// nextCheck returns when a dial or a listener needs a turn at the latest: a timeout, a retry, or the end of a pause.
func (l *Loop) nextCheck() time.Duration {
	next := never
	for c := range l.dialing {
		next = min(next, c.dial.deadline)
		if c.dial.retryAt > 0 {
			next = min(next, c.dial.retryAt)
		}
	}
	for _, ln := range l.listeners {
		if ln.paused {
			next = min(next, ln.resumeAt)
		}
	}
	return next
}

// closeDescriptors closes all sockets and the poller.
func (l *Loop) closeDescriptors() {
	for _, listener := range l.listeners {
		listener.close()
	}
	for _, connections := range []map[*Conn]struct{}{l.accepted, l.dialing, l.dialed} {
		for c := range connections {
			c.socket.close(l.poll)
		}
	}
	for c := range l.udpConns {
		c.socket.close(l.poll)
	}
	l.poll.close()
}
