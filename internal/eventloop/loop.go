package eventloop

import (
	"time"

	"functionrouter/internal/logging"
)

const (
	// processPauseThreshold is how much longer than its timeout a wait may take, and how long a turn may take whatever
	// the wait after it shows. If either takes longer, the loop assumes that the machine has paused the process, and
	// that the input of the next turn may have arrived when that wait or turn began (InputTime).
	//
	// The threshold bounds the pauses that the loop does not detect, after which the router assumes a request's deadline
	// to be later than it is. It is half of the time that the router keeps for the way of an answer; the rest is for
	// the turn in which the answer is due. In a wait, an undetected pause may be longer by the wait's timeout, which is
	// at most sweepInterval. A lower value mistakes more delays of the machine for pauses, and gives requests that
	// arrived afterwards less time than they have.
	processPauseThreshold = 20 * time.Millisecond

	// immediateWait is how long a wait takes at most that finds events as it begins. Their input has arrived during the
	// turn before it. A wait that takes longer has begun without events.
	immediateWait = time.Millisecond

	// negligibleTurn is how long a turn may take for its input to count as arriving when the next one begins.
	negligibleTurn = time.Millisecond
)

// Config sets the limits of a Loop.
type Config struct {
	// MaxAcceptedConnections is the limit on accepted connections that are open at the same time. Up to
	// maxConnectionsOverLimit more are open while their first requests are answered.
	MaxAcceptedConnections int
	MaxUnreadBytes         int // limit on the bytes that all peers, accepted and dialed, leave unread in total
	// AfterInput, if not nil, is called with the present time after a part of the input of a connection has been handled,
	// so that what is due is done while a turn lasts, and what the input leads to is charged to its sender. It is called
	// on the loop's goroutine and not during a handler.
	AfterInput func(now time.Duration)
}

// Loop owns the poller, the listeners and the connections. Create one with New, call Listen for each address, then
// Start and Run. After Start, Post may be called on any goroutine. All other methods may be called only on the loop's
// goroutine.
type Loop struct {
	cfg   Config
	clock clock
	calls systemCalls
	poll  *poller // nil before Start
	posts postQueue

	listeners []*listener
	accepted  map[*Conn]struct{}
	dialing   map[*Conn]struct{}
	dialed    map[*Conn]struct{} // only connected ones
	udpConns  map[*UDPConn]struct{}

	now             time.Duration // time of the present turn
	inputTime       time.Duration // see InputTime
	polledAt        time.Duration // the last poll that has reported all descriptors with events
	previousPoll    time.Duration // the same before the present turn
	catchUpTime     time.Duration // for how long Conn.CatchUp has read in this turn
	clientInput     inputSchedule // accepted connections with input
	workerInput     inputSchedule // dialed connections with input
	clientBytes     int           // bytes read from accepted connections since the start
	stopped         bool
	deferred        []func()         // calls for the next turn
	runningDeferred []func()         // deferred calls of this turn; the arrays of both slices are reused
	failedClients   []*Conn          // accepted connections to which a write has failed; see closeFailedClients
	unflushed       []*Conn          // connections with pending writes or to be closed after their last write
	totalUnread     int              // bytes that all peers have yet to take; updated by Conn.setUnsent
	readBuffer      []byte           // shared by all sockets
	lastSweep       time.Duration    // when sweep last ran
	refusals        logging.Throttle // connections refused because of Config.MaxAcceptedConnections
	backlogPauses   logging.Throttle // pauses of listeners because no connection could be accepted
	interrupted     interruptedLog
	turns           turnMonitor

	acceptedCount uint64      // connections accepted since the start
	closeCounts   CloseCounts // accepted connections closed since the start
}

// New returns a Loop without listeners and descriptors.
func New(cfg Config) *Loop {
	c := newClock()
	return &Loop{
		cfg:        cfg,
		clock:      c,
		calls:      kernelCalls{},
		accepted:   map[*Conn]struct{}{},
		dialing:    map[*Conn]struct{}{},
		dialed:     map[*Conn]struct{}{},
		udpConns:   map[*UDPConn]struct{}{},
		now:        c.now(),
		inputTime:  c.now(),
		readBuffer: make([]byte, readBufferSize),
		refusals:   logging.Throttle{Interval: refusalLogInterval},

		backlogPauses: logging.Throttle{Interval: refusalLogInterval},
		interrupted:   newInterruptedLog(),
		turns:         newTurnMonitor(),
	}
}

// Start opens the poller and the listeners. If it fails, nothing is left open. If the fault concerns a listener, the
// error names its address.
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

// ReadClock returns the present time on the loop's clock. It is later than Now if the turn has lasted.
func (l *Loop) ReadClock() time.Duration { return l.clock.now() }

// TimeFromWallClock converts a wall-clock time to the loop's clock.
func (l *Loop) TimeFromWallClock(t time.Time) time.Duration { return l.clock.fromWallTime(t) }

// Post schedules call on the loop's goroutine. It never blocks and may be called on any goroutine, after Start.
//
// A call is dropped if it is posted after the last turn of Run has begun to make the posted calls, or after Run has
// returned.
func (l *Loop) Post(call func()) {
	l.posts.add(call, l.poll)
}

// deferCall defers call to the next turn. It must be called on the loop's goroutine.
func (l *Loop) deferCall(call func()) { l.deferred = append(l.deferred, call) }

// Run handles events until Stop is called, and then closes all descriptors without calling their handlers. Each turn
// calls beginTurn with the time, then the handlers of the turn's events, then endTurn, which returns the time by which
// the next turn must start. A turn also starts when there are events, and at least every 200 ms (sweepInterval).
func (l *Loop) Run(beginTurn func(now time.Duration), endTurn func(now time.Duration) time.Duration) {
	var posted []func()
	nextTurn := l.now
	for !l.stopped {
		timeout := l.timeUntil(nextTurn)
		waitedFrom := l.clock.now()
		events, complete := l.poll.wait(timeout)
		l.startTurn(waitedFrom, timeout)
		l.recordPoll(complete)
		l.turns.begin(l.now, l.clientBytes)
		beginTurn(l.now)
		l.runDeferred()
		posted = l.runPosted(posted)
		l.poll.dispatch(events)
		l.readScheduled(&l.clientInput)
		l.readScheduled(&l.workerInput)
		l.checkDials()
		l.resumeAccepting()
		l.turns.endPart(&l.turns.current.Events, l.clock.now())
		nextTurn = min(endTurn(l.now), l.nextCheck(), l.now+sweepInterval)
		l.turns.endPart(&l.turns.current.EndOfTurn, l.clock.now())
		l.flush()
		if l.now-l.lastSweep > sweepInterval {
			l.sweep()
		}
		l.turns.endPart(&l.turns.current.Writes, l.clock.now())
		l.turns.end(l.clock.now(), l.clientBytes)
	}
	l.posts.close()
	l.closeDescriptors()
}

// startTurn sets the times of a turn. waitedFrom is when the wait before this turn began, and timeout is the timeout of
// that wait.
func (l *Loop) startTurn(waitedFrom, timeout time.Duration) {
	previousTurn := l.now
	l.now = l.clock.now()
	turn := waitedFrom - previousTurn
	wait := l.now - waitedFrom
	switch {
	case turn > processPauseThreshold, turn > negligibleTurn && wait <= immediateWait:
		l.inputTime = previousTurn
	case wait > timeout+processPauseThreshold:
		l.inputTime = waitedFrom
	default:
		l.inputTime = l.now
	}
}

// recordPoll records the poll with which the present turn begins. complete means that it has reported all descriptors
// with events.
func (l *Loop) recordPoll(complete bool) {
	l.catchUpTime = 0
	l.previousPoll = l.polledAt
	if complete {
		l.polledAt = l.now
	}
}

// InputTime returns the earliest time at which the input that a handler gets may have arrived. This is the time of the
// present turn, unless the machine paused the process before it, or the input has waited in the backlog with its
// connection or behind input that was read in an earlier turn. The peers' deadlines continue to run meanwhile.
func (l *Loop) InputTime() time.Duration { return l.inputTime }

// timeUntil returns how long the poller may wait for a turn that is due at next. It returns 0 if calls are deferred to
// that turn or connections are left to be closed.
func (l *Loop) timeUntil(next time.Duration) time.Duration {
	if len(l.deferred) > 0 || len(l.failedClients) > 0 {
		return 0
	}
	return max(next-l.clock.now(), 0)
}

// runDeferred closes the clients' connections that have failed, and makes the calls that were deferred to this turn.
// Calls that are deferred meanwhile wait for the next turn: the two slices are swapped to reuse their arrays.
func (l *Loop) runDeferred() {
	l.closeFailedClients()
	spare := l.runningDeferred[:0]
	l.runningDeferred = l.deferred
	l.deferred = spare
	for i, call := range l.runningDeferred {
		call()
		l.runningDeferred[i] = nil
	}
}

// runPosted makes the calls that other goroutines have posted. It returns their slice, which the next turn reuses.
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

// nextCheck returns the time by which a dial or a listener needs a turn: the earliest timeout, retry or end of a pause.
func (l *Loop) nextCheck() time.Duration {
	next := never
	for c := range l.dialing {
		next = min(next, c.dial.deadline)
		if c.dial.retryAt > 0 {
			next = min(next, c.dial.retryAt)
		}
	}
	for _, ln := range l.listeners {
		next = min(next, ln.resumeTime())
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
