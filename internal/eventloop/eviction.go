package eventloop

import (
	"slices"
	"time"
)

const (
	// maxEvictionCandidates is the maximum number of connections that one eviction examines. Those with unread input
	// are skipped. The limit bounds the system calls of one eviction.
	maxEvictionCandidates = 8

	// firstMessageGracePeriod is how long after the accept a client may take to begin its first message. Until then,
	// its connection is among the last to be evicted; after that, the connection is silent and among the first. A
	// higher value protects the connections of a flood of silent clients for longer, and the idle connections of
	// clients that have sent requests are evicted in their place. A lower value makes a slow client lose its connection
	// before it has begun its first message, if an eviction is necessary.
	firstMessageGracePeriod = 250 * time.Millisecond

	// nextRequestPeriod is how long after a message or an answer a client's next request is likely to be on its way. Until
	// then, its connection is among the last to be evicted. With a lower value, the requests of clients that send one
	// after the other meet evictions more often, while a flood of clients opens connections.
	nextRequestPeriod = 10 * time.Millisecond

	// longIdleThreshold is how long a client that has sent messages must be idle before it may be evicted because this
	// process runs out of descriptors. Well-behaved clients close an idle connection themselves after 4 s.
	longIdleThreshold = 5 * time.Second
)

// evictionPriority orders the accepted connections without outstanding answers. Those with the lowest value are evicted
// first.
type evictionPriority uint8

const (
	// The client has not begun its first message within firstMessageGracePeriod.
	evictSilent evictionPriority = iota // silent

	// The client has sent complete messages, and no part of a further one, and is not within nextRequestPeriod of the
	// last message or answer.
	evictIdle // idle

	// The client is new, has sent part of a message, or is within nextRequestPeriod.
	evictLast // last
)

// evictionPriority returns the priority of the connection at the time now.
func (a *messageActivity) evictionPriority(now time.Duration) evictionPriority {
	switch {
	case a.partialSince > 0: // the rest may be on its way, and the client can't know that the router did not read it
		return evictLast
	case a.completeMessages > 0 && now-a.lastActivity > nextRequestPeriod:
		return evictIdle
	case a.completeMessages > 0:
		return evictLast
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

// evict closes an accepted connection to make room for a new one. Only eligible connections without outstanding answers
// are candidates. evict returns false if it has closed none.
//
// The candidate with the lowest eviction priority is closed first; among candidates of equal priority, the one that has
// been inactive for longest. If clients open hundreds of connections and stay silent, these connections are therefore
// evicted once they are older than firstMessageGracePeriod, before those of clients that have sent requests or whose
// requests are on their way. A candidate with unread input is skipped because the input may contain a request.
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

// evictionCandidate returns the next connection to evict that is not in excluded, or nil if there is none.
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

// anyConnection makes every connection eligible for eviction.
func anyConnection(*Conn) bool { return true }

// isLongIdle reports whether the client is silent, or has been idle for longer than longIdleThreshold.
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
