package eventloop

import (
	"slices"
	"time"
)

const (
	// maxEvictionCandidates is how many connections with unread input are skipped in the search for one to evict. It bounds
	// the system calls that one eviction takes.
	maxEvictionCandidates = 8

	// firstMessageGracePeriod is how long a client may take from its connect to its first message before its connection counts as
	// silent and is the first to be evicted. Higher, and a flood of connections that stay silent evicts idle ones
	// of clients that have sent requests, because it counts as new for longer; lower, and a client whose first
	// message takes longer than this loses its connection when room is needed.
	firstMessageGracePeriod = 250 * time.Millisecond

	// longIdleThreshold is how long a client that has sent messages may be idle before it is evicted if this process runs
	// out of descriptors. Well-behaved clients close an idle connection themselves after 4 s.
	longIdleThreshold = 5 * time.Second
)

// evictionPriority orders the connections that owe no answer: the lowest is closed first to make room.
type evictionPriority uint8

const (
	// The client should have begun a message by now, and has not.
	evictSilent evictionPriority = iota // silent

	// The client has sent complete messages, and no part of another.
	evictIdle // idle

	// The client is new or has sent part of a message.
	evictLast // last
)

// evictionPriority returns the priority of the connection at now.
func (a *messageActivity) evictionPriority(now time.Duration) evictionPriority {
	switch {
	case a.partialSince > 0: // the rest may be on its way, and the client can't know that it was not read
		return evictLast
	case a.completeMessages > 0:
		return evictIdle
	case now-a.lastActivity > firstMessageGracePeriod:
		return evictSilent
	}
	return evictLast
}

// isEvictedBefore reports whether a's connection is evicted before b's.
func (a *messageActivity) isEvictedBefore(b *messageActivity, now time.Duration) bool {
	priority := a.evictionPriority(now)
	other := b.evictionPriority(now)
	if priority != other {
		return priority < other
	}
	return a.lastActivity < b.lastActivity
}

// evict makes room for a new connection by closing an accepted one that owes no answer and is eligible. It
// returns false if there is none.
//
// The candidate with the lowest eviction priority goes first, and among equals the one that has been inactive for
// longest. So connections that are opened by hundreds and stay silent displace each other, and neither those of
// clients that have sent requests nor those whose request is on its way. A candidate with unread input is skipped: a
// request may be in it.
func (l *Loop) evict(eligible func(*Conn) bool) bool {
	var withUnreadInput []*Conn
	for len(withUnreadInput) < maxEvictionCandidates {
		victim := l.evictionCandidate(eligible, withUnreadInput)
		if victim == nil {
			return false
		}
		if !victim.hasInput() {
			victim.closeWithCause(Evicted)
			return true
		}
		withUnreadInput = append(withUnreadInput, victim)
	}
	return false
}

// evictionCandidate returns the next connection to be evicted that is not in without; nil if there is none.
func (l *Loop) evictionCandidate(eligible func(*Conn) bool, excluded []*Conn) *Conn {
	var victim *Conn
	for c := range l.accepted {
		if c.hasOutstandingAnswers() || !eligible(c) || slices.Contains(excluded, c) {
			continue
		}
		if victim == nil || c.activity.isEvictedBefore(&victim.activity, l.now) {
			victim = c
		}
	}
	return victim
}

// anyConnection makes every connection that owes no answer eligible for eviction.
func anyConnection(*Conn) bool { return true }

// isLongIdle reports whether the client is silent, or idle for longer than longIdleThreshold.
func (c *Conn) isLongIdle() bool {
	switch c.activity.evictionPriority(c.loop.now) {
	case evictSilent:
		return true
	case evictIdle:
		return c.loop.now-c.activity.lastActivity > longIdleThreshold
	default:
		return false
	}
}
