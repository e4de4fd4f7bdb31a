package eventloop

import "time"

const (
	// idleTimeout closes an accepted connection without open requests on which no complete message has
	// arrived for this long, and nothing was answered.
	idleTimeout = 15 * time.Second

	// messageTimeout is the time for a complete message: for the first one from the accept on, for each
	// further one from its first byte on. Bytes that trickle in don't extend it.
	messageTimeout = 2500 * time.Millisecond

	// closeTimeout is how long a peer may take to read its last answers once the handler closes the connection.
	closeTimeout = 2 * time.Second

	// abandonedAfter is how long a client that has sent messages may be idle before its descriptor is taken from it
	// while there are no others. Well-behaved clients close an idle connection themselves after 4 s.
	abandonedAfter = 5 * time.Second

	// silenceGrace is how long a client may take from its connect to its message before its connection
	// counts as silent and is the first to be evicted.
	silenceGrace = 250 * time.Millisecond
)

// messageActivity follows the messages of an accepted connection, for its timeouts and its eviction.
type messageActivity struct {
	completeMessages int
	lastActivity     time.Duration // last complete message or answer; before the first message, the accept
	partialSince     time.Duration // when the beginning of a message arrived whose end has not; 0: there is none
}

// recordProgress notes the handler's MessageProgress after it has received data.
func (a *messageActivity) recordProgress(complete int, partial bool, now time.Duration) {
	if complete > a.completeMessages {
		a.completeMessages = complete
		a.lastActivity = now
		a.partialSince = 0
	}
	switch {
	case !partial:
		a.partialSince = 0
	case a.partialSince == 0:
		a.partialSince = now
	}
}

// recordAnswer notes that something is written: the connection is idle from its last answer on, however long that
// took. What is written before the first complete message is no answer.
func (a *messageActivity) recordAnswer(now time.Duration) {
	if a.completeMessages > 0 {
		a.lastActivity = now
	}
}

// timedOut reports whether the connection has had its time, and which. A peer with unread bytes, which reads slowly or
// not at all, has the idle timeout even if it has sent part of a message.
func (a *messageActivity) timedOut(now time.Duration, hasUnread bool) (cause CloseCause, timedOut bool) {
	switch {
	case hasUnread:
		return IdleTimeout, now-a.lastActivity > idleTimeout
	case a.partialSince > 0:
		return MessageTimeout, now-a.partialSince > messageTimeout
	case a.completeMessages == 0:
		return MessageTimeout, now-a.lastActivity > messageTimeout
	}
	return IdleTimeout, now-a.lastActivity > idleTimeout
}

// evictionPriority orders the connections that owe no answer: the lowest is closed first to make room.
type evictionPriority uint8

const (
	evictSilent evictionPriority = iota // should have begun a message by now and has not
	evictIdle                           // sent complete messages, and no part of another
	evictLast                           // is new, or has sent part of a message
)

func (p evictionPriority) String() string {
	switch p {
	case evictSilent:
		return "silent"
	case evictIdle:
		return "idle"
	default:
		return "last"
	}
}

func (a *messageActivity) evictionPriority(now time.Duration) evictionPriority {
	switch {
	case a.partialSince > 0: // the rest may be on its way, and the client can't know that it was not read
		return evictLast
	case a.completeMessages > 0:
		return evictIdle
	case now-a.lastActivity > silenceGrace:
		return evictSilent
	}
	return evictLast
}

// evictsBefore reports whether a's connection makes room before b's.
func (a *messageActivity) evictsBefore(b *messageActivity, now time.Duration) bool {
	priority, other := a.evictionPriority(now), b.evictionPriority(now)
	if priority != other {
		return priority < other
	}
	return a.lastActivity < b.lastActivity
}

// sweep closes the accepted connections that have timed out, and logs the refused ones.
func (l *Loop) sweep() {
	l.lastSweep = l.now
	for c := range l.accepted {
		if c.state == stateFlushing && l.now-c.activity.lastActivity > closeTimeout {
			c.closeFor(PeerNotReading)
			continue
		}
		cause, timedOut := c.activity.timedOut(l.now, len(c.unsent) > 0)
		if !timedOut || c.hasOpenRequests() {
			continue
		}
		if cause == IdleTimeout && c.hasInput() {
			continue // a request may be in it
		}
		c.closeFor(cause)
	}
	l.logRefusals()
	l.logInterrupted()
}

// HasPartialMessages reports whether the beginning of a message has arrived on an open accepted connection, and its
// end has not.
func (l *Loop) HasPartialMessages() bool {
	for c := range l.accepted {
		if c.activity.partialSince > 0 {
			return true
		}
	}
	return false
}
