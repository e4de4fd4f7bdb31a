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
	// CatchUp reads input that has arrived, as far as the limits of a turn allow. The frontend may submit and cancel
	// requests meanwhile.
	CatchUp()
	// InputRate returns how many bytes the client sends per second.
	InputRate() float64
}

// sendAttempts sends the attempts that the worker pool can write now, and is the only place where an attempt begins.
// An attempt begins only if the input of its client has been read, as policy.MayBegin says. Otherwise sendAttempts first
// reads on, which may withdraw requests and queue events. It reports whether attempts are left that wait for that.
func (r *Router) sendAttempts() (held bool) {
	r.sendable = r.workers.SendableAttempts(r.sendable[:0])
	r.readUnseenInput()
	for _, id := range r.sendable {
		p, a := r.findOpenAttempt(id)
		switch {
		case a == nil: // withdrawn by what has been read
		case p.Input != nil && !policy.MayBegin(p.Input.UnseenFor()):
			held = true
		default:
			r.workers.SendAttempt(id)
		}
	}
	return held
}

// readUnseenInput reads the unread input of the clients whose attempts are about to begin. Clients that send least come
// first, because the limits of a turn may not suffice for clients that send at full speed.
func (r *Router) readUnseenInput() {
	r.unseen = r.unseen[:0]
	for _, id := range r.sendable {
		if p, _ := r.findOpenAttempt(id); p != nil && p.Input != nil && p.Input.UnseenFor() > 0 {
			r.unseen = append(r.unseen, p.Input)
		}
	}
	slices.SortStableFunc(r.unseen, func(a, b Input) int { return cmp.Compare(a.InputRate(), b.InputRate()) })
	for _, input := range r.unseen {
		if input.UnseenFor() > 0 {
			input.CatchUp()
		}
	}
	clear(r.unseen) // the slice must not keep closed connections in memory
}
