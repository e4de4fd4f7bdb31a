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

// sendAttempts sends the attempts that the worker pool can write now, and is the only place where an attempt begins.
// An attempt begins only if the input of its client has been read, as policy.MayBegin says. Otherwise sendAttempts first
// reads on, which may withdraw requests and queue events. It reports whether attempts are left that wait for that; one
// that has waited for too long ends as NotSent, so that the request is answered.
func (r *Router) sendAttempts() (held bool) {
	r.sendable = r.workers.SendableAttempts(r.sendable[:0])
	r.sortByInputRate()
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

// sortByInputRate sorts the sendable attempts by how much their clients send, if any of these has unread input. Clients
// that send least come first, because the limits of a turn do not suffice for many clients that send at full speed.
func (r *Router) sortByInputRate() {
	hasUnseen := slices.ContainsFunc(r.sendable, func(id AttemptID) bool {
		input, _ := r.inputOf(id)
		return input != nil && input.UnseenFor() > 0
	})
	if !hasUnseen {
		return
	}
	rate := func(id AttemptID) float64 {
		if input, _ := r.inputOf(id); input != nil {
			return input.InputRate()
		}
		return 0
	}
	slices.SortStableFunc(r.sendable, func(a, b AttemptID) int { return cmp.Compare(rate(a), rate(b)) })
}
