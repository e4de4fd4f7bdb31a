package router

import (
	"cmp"
	"slices"
	"time"

	"functionrouter/policy"
)

// Input is the connection over which a request arrived. Input of the client that has arrived and has not been read may
// withdraw the request or end the connection. eventloop.Conn implements it.
type Input interface {
	// UnseenFor returns for how long input may have waited unread; 0 if there is no sign of unread input.
	UnseenFor() time.Duration
	// UnreadFor returns for how long reading has not caught up with what the client sends; 0 if it has.
	UnreadFor() time.Duration
	// CatchUp reads input that has arrived, as far as the limits of a turn allow. The frontend may submit and cancel
	// requests meanwhile.
	CatchUp()
	// InputRate returns how many bytes the client sends per second.
	InputRate() float64
}

// maxSendRounds is how often one call of Process sends attempts, because input that it has read for them leads to more.
// Clients that keep sending must not make a turn last.
const maxSendRounds = 3

// sendAttempts passes the held attempts that may begin to the worker pool, sends those that the pool can write now, and is
// the only place where an attempt begins. An attempt begins only if the input of its client has been read, as
// policy.MayBegin says. Otherwise sendAttempts first reads on, which may withdraw requests and queue events. It reports
// whether attempts are left that wait for that; one that has waited for too long ends as NotSent, so that the request is
// answered.
func (r *Router) sendAttempts() (held bool) {
	held = r.passHeldAttempts()
	r.sendable = r.workers.SendableAttempts(r.sendable[:0])
	r.sortByInputRate(r.sendable)
	for _, id := range r.sendable {
		switch input, open := r.inputOf(id); {
		case !open: // withdrawn by what has been read
		case input == nil || r.hasBeenSeen(id, input):
			r.workers.SendAttempt(id)
		default:
			held = r.hold(id) || held
		}
	}
	return held
}

// passHeldAttempts gives the worker pool the held attempts that may begin now. The others do not take the place of other
// attempts on a connection meanwhile. It reports whether attempts are left that wait.
func (r *Router) passHeldAttempts() (held bool) {
	waiting := r.held
	r.held = nil // hasBeenSeen may read input, but no attempt starts meanwhile
	r.sortByInputRate(waiting)
	for _, id := range waiting {
		input, open := r.inputOf(id)
		switch {
		case !open: // withdrawn or ended
		case input == nil || r.hasBeenSeen(id, input):
			r.passToPool(id, r.requests.byID[id.Request])
		case r.hold(id):
			r.held = append(r.held, id)
			held = true
		}
	}
	return held
}

// hold lets an attempt wait until the input of its client has been read, or ends it if it has waited for too long. It
// reports whether the attempt waits.
func (r *Router) hold(id AttemptID) bool {
	_, a := r.findOpenAttempt(id)
	switch {
	case a == nil: // withdrawn by what has been read
		return false
	case a.heldAt == 0:
		a.heldAt = r.now
	case policy.GiveUpWaiting(r.now - a.heldAt):
		r.cancelUnsentAttempt(id)
		return false
	}
	return true
}

// hasBeenSeen reads unread input and reports whether the attempt is still open and may begin.
func (r *Router) hasBeenSeen(id AttemptID, input Input) bool {
	if input.UnseenFor() > 0 {
		input.CatchUp()
	}
	_, open := r.inputOf(id)
	return open && policy.MayBegin(input.UnseenFor())
}

// inputOf returns the input of the request of an attempt, which may be nil, and whether the attempt is open.
func (r *Router) inputOf(id AttemptID) (input Input, open bool) {
	p, a := r.findOpenAttempt(id)
	if a == nil {
		return nil, false
	}
	return p.Input, true
}

// ratedAttempt is an attempt and how much its client sends.
type ratedAttempt struct {
	id   AttemptID
	rate float64 // in bytes per second; 0 if the request does not depend on a connection
}

// sortByInputRate sorts attempts by how much their clients send, if any of these has unread input. Clients that send least
// come first, because the limits of a turn do not suffice for many clients that send at full speed.
func (r *Router) sortByInputRate(attempts []AttemptID) {
	rated := make([]ratedAttempt, 0, len(attempts))
	hasUnseen := false
	for _, id := range attempts {
		attempt := ratedAttempt{id: id}
		if input, _ := r.inputOf(id); input != nil {
			attempt.rate = input.InputRate()
			hasUnseen = hasUnseen || input.UnseenFor() > 0
		}
		rated = append(rated, attempt)
	}
	if !hasUnseen {
		return
	}
	slices.SortStableFunc(rated, func(a, b ratedAttempt) int { return cmp.Compare(a.rate, b.rate) })
	for i := range rated {
		attempts[i] = rated[i].id
	}
}
