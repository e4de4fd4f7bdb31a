package eventloop

import "time"

const (
	// idleTimeout closes an accepted connection without open requests on which no complete message has
	// arrived for this long, and nothing was answered. It bounds how long a client that has gone without a close,
	// or that does not read, holds a descriptor. Well-behaved clients close an idle connection themselves after
	// 4 s (operators' protocol), so that none of theirs gets here. Higher, and connections of clients that have
	// gone are held for longer; below 4 s, and a close may cross a request.
	idleTimeout = 15 * time.Second

	// messageTimeout is the time for a complete message: for the first one from the accept on, for each
	// further one from its first byte on. Bytes that trickle in don't extend it. It bounds how long a client
	// that sends nothing, or half a message, holds a descriptor. By the operators' terms such a client is owed a
	// close within 3 s of connecting; the sweep that closes it may come up to two sweepIntervals later. Higher,
	// and the close comes too late; lower, and a slow client loses a request that it is still sending.
	messageTimeout = 2500 * time.Millisecond
)

// messageActivity follows the messages of an accepted connection, for its timeouts and its eviction priority.
type messageActivity struct {
	completeMessages int           // received so far
	lastActivity     time.Duration // last complete message or answer; before the first message, the accept
	partialSince     time.Duration // when the beginning of a message arrived whose end has not; 0: there is none
}

// recordProgress records the handler's MessageProgress after it has received data.
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

// recordAnswer records that something is written: the connection is idle from its last answer on, however long that
// took. What is written before the first complete message is no answer.
func (a *messageActivity) recordAnswer(now time.Duration) {
	if a.completeMessages > 0 {
		a.lastActivity = now
	}
}

// timedOut reports whether a timeout of the connection has expired, and the cause to close it for. A peer with unread
// bytes, which reads slowly or not at all, has the idle timeout even if it has sent part of a message.
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
