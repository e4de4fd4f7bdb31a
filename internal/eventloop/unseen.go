package eventloop

import "time"

// Unseen input is input that has arrived from a client and that the loop has not read. It may hold the withdrawal of a
// request that the loop has already passed on, or be followed by the end of the client's connection. The loop keeps for
// each accepted connection until when all its input has been read (seenUntil), and reads on when it is asked to
// (CatchUp), so that the caller can act on what has arrived by now.

const (
	// recentPollAge is how old the last poll may be for CatchUp to rely on it. Turns that are not busy end within this
	// time, so that they need no further system calls.
	recentPollAge = 10 * time.Millisecond

	// catchUpBudget is how long CatchUp reads in one turn, so that clients that send at full speed do not make the turn
	// long.
	catchUpBudget = 4 * time.Millisecond
)

// inputProgress tells how far the input of an accepted connection has been read.
type inputProgress struct {
	acceptedAt time.Duration
	bytes      int           // number of bytes read so far
	seenUntil  time.Duration // all input that had arrived by this time has been read
	unread     bool          // the last read has left input, or the poller has reported input that is not read yet
	// unreadSince is when input was first found unread since all had been read; 0 if unread is false.
	unreadSince time.Duration
	// endReported means that the poller has reported the end of the input, or of the connection. It is set for dialed
	// connections too.
	endReported bool
	// arrivedSince is the earliest time at which the input that the last read has left may have arrived; 0 if none is
	// left. Unlike seenUntil it may be up to processPauseThreshold too late, because it counts against a request's time.
	arrivedSince time.Duration
}

// recordReported records that the poller has reported input at now, which may have arrived as early as inputTime. previousPoll
// is when the poller last reported that there is none, unless the last read has left input.
func (p *inputProgress) recordReported(now, inputTime, previousPoll time.Duration) {
	if p.unread {
		return
	}
	p.unread = true
	p.unreadSince = now
	p.seenUntil = max(p.seenUntil, previousPoll)
	if p.arrivedSince == 0 {
		p.arrivedSince = inputTime
	}
}

// recordRead records a read that began at start. If it has left input, previousPoll is when the poller last reported that
// there is none, unless the read before it has left input too.
func (p *inputProgress) recordRead(drained bool, start, previousPoll time.Duration) {
	switch {
	case drained:
		p.seenUntil = max(p.seenUntil, start)
		p.arrivedSince = 0
		p.unreadSince = 0
	case !p.unread:
		p.unreadSince = start
		p.seenUntil = max(p.seenUntil, previousPoll)
	}
	p.unread = !drained
}

// UnseenFor returns for how long input of an accepted connection may have waited unread. It returns 0 if no unread input
// is known and the last poll is recent. If the connection or its input has ended and this is not read yet, or if its
// handler's OnClose is due, it returns a time that is longer than any limit.
func (c *Conn) UnseenFor() time.Duration {
	switch {
	case c.state.isClosed() || c.writeError != nil:
		return never
	case !c.state.wantsInput():
		return 0
	case c.progress.unread && c.progress.endReported:
		return never
	case c.progress.unread:
		return c.loop.clock.now() - c.progress.seenUntil
	}
	age := c.loop.clock.now() - max(c.progress.seenUntil, c.loop.polledAt)
	if age <= recentPollAge {
		return 0
	}
	return age
}

// UnreadFor returns for how long the loop has not caught up with the client of an accepted connection: since then, input was
// left each time that some was read. Unlike UnseenFor it leaves out the time before the poller has reported input, such as
// a pause of the process.
func (c *Conn) UnreadFor() time.Duration {
	if !c.progress.unread {
		return 0
	}
	return c.loop.clock.now() - c.progress.unreadSince
}

// InputRate returns how many bytes per second the client of an accepted connection has sent since it connected.
func (c *Conn) InputRate() float64 {
	open := c.loop.now - c.progress.acceptedAt + time.Second // a connection that has just been accepted has no rate yet
	return float64(c.progress.bytes) / open.Seconds()
}

// CatchUp reads what has arrived on an accepted connection, within the time of a turn. For as long again it still reads a
// part of a connection of which no unread input is known, because that is little as a rule. CatchUp calls the connection's
// handler, so no handler may call it.
func (c *Conn) CatchUp() {
	l := c.loop
	limit := catchUpBudget
	if !c.progress.unread {
		limit += catchUpBudget
	}
	if !c.readsInput() || l.catchUpTime >= limit {
		return
	}
	began := l.clock.now()
	c.readClient(began, l.polledAt, func() (drained bool) {
		for range maxCatchUpReads {
			result, n := c.readOnce(l.readBuffer[:clientReadSize])
			if result != readData {
				return result.drained()
			}
			if n == clientReadSize && l.catchUpTime+l.clock.now()-began >= catchUpBudget {
				return false
			}
		}
		return false
	})
	spent := l.clock.now() - began
	l.catchUpTime += spent
	c.chargeInput(spent)
}
