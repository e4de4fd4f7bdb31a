package eventloop

import "time"

const (
	// idleTimeout is how long an accepted connection without open requests may go without a complete message and
	// without an answer before the loop closes it. It bounds how long a descriptor is held by a client that has
	// disappeared without closing its connection, or that does not read. Well-behaved clients close an idle connection
	// themselves after 4 s (operators' protocol), so this timeout does not affect them. A higher value holds the
	// connections of disappeared clients for longer. With a value below 4 s, the loop may close a connection while a
	// request is on its way.
	idleTimeout = 15 * time.Second

	// messageTimeout is how long a complete message may take to arrive. The time starts at the first byte of the
	// message. A connection's first byte must arrive within the same time after the accept. Bytes that arrive slowly do
	// not extend the time. The timeout bounds how long a descriptor is held by a client that sends nothing or only part
	// of a message. The operators' terms require that the connection of such a client is closed within 3 s of
	// connecting, and the sweep that closes it may run up to two sweepIntervals after the timeout. If a client sends
	// its first byte some time after the accept, its connection may be closed later than 3 s after connecting, because
	// the time starts again at that byte. With a higher value, the loop closes these connections too late. With a lower
	// value, a slow client loses a request that it is still sending.
	messageTimeout = 2500 * time.Millisecond
)

// messageActivity tracks the messages of an accepted connection, for its timeouts and its eviction priority.
type messageActivity struct {
	completeMessages int           // number received so far
	lastActivity     time.Duration // time of the last complete message or answer, initially of the accept
	partialSince     time.Duration // when the first part of an incomplete message arrived; 0 if there is none
}

// recordProgress updates the activity from the handler's MessageProgress after the handler has received data.
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

// recordAnswer records that an answer is written. The connection counts as idle from its last answer on, however long
// that answer took. Bytes that are written before the first complete message are not an answer.
func (a *messageActivity) recordAnswer(now time.Duration) {
	if a.completeMessages > 0 {
		a.lastActivity = now
	}
}

// timedOut reports whether a timeout of the connection has expired, and the cause to close it with. hasUnread means
// that the peer has left bytes unread: it reads slowly or not at all. Then the idle timeout applies, even if the peer
// has sent part of a message.
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

// HasPartialMessages reports whether any open accepted connection has received only part of a message.
func (l *Loop) HasPartialMessages() bool {
	for c := range l.accepted {
		if c.activity.partialSince > 0 {
			return true
		}
	}
	return false
}
