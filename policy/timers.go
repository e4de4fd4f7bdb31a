package policy

import "time"

// timerKind is the purpose of a timer.
type timerKind uint8

// The kinds of timers.
const (
	// housekeepingTimer starts the periodic work.
	housekeepingTimer timerKind = iota // housekeeping
	// resubscribeTimer renews the subscription to the endpoint list.
	resubscribeTimer // resubscribe
	// placementTimer continues to place the waiting requests.
	placementTimer // placement
	// deadlineTimer ends a request whose final answer is due.
	deadlineTimer // deadline
)

// The tokens of the timers, as in SetTimer and TimerFired. The token of a deadline timer is
// deadlineTokenOffset plus the request's id, which has 32 bits.
const (
	housekeepingToken   = 0
	resubscribeToken    = 1
	placementToken      = 2
	deadlineTokenOffset = 1 << 32
)

// timer identifies a timer of the policy.
type timer struct {
	kind    timerKind
	request RequestID // of a deadlineTimer; else 0
}

// token returns the number that identifies t outside this package.
func (t timer) token() uint64 {
	switch t.kind {
	case housekeepingTimer:
		return housekeepingToken
	case resubscribeTimer:
		return resubscribeToken
	case placementTimer:
		return placementToken
	default:
		return deadlineTokenOffset + uint64(t.request)
	}
}

// timerForToken returns the timer that a token identifies, or false if there is none.
func timerForToken(token uint64) (t timer, ok bool) {
	switch {
	case token == housekeepingToken:
		return timer{kind: housekeepingTimer}, true
	case token == resubscribeToken:
		return timer{kind: resubscribeTimer}, true
	case token == placementToken:
		return timer{kind: placementTimer}, true
	case token >= deadlineTokenOffset:
		return timer{kind: deadlineTimer, request: RequestID(token - deadlineTokenOffset)}, true
	default:
		return timer{}, false
	}
}

// setTimer asks the router for a TimerFired event with the token of t after the given time.
func (p *Policy) setTimer(after time.Duration, t timer) {
	p.emit(SetTimer{After: after, Token: t.token(), Request: t.request})
}

// timerFired does the work of the timer that has expired.
func (p *Policy) timerFired(e TimerFired) {
	t, ok := timerForToken(e.Token)
	if !ok {
		return
	}
	switch t.kind {
	case housekeepingTimer:
		p.housekeeping()
	case resubscribeTimer:
		p.emit(Subscribe{On: true})
	case placementTimer:
		p.continuePlacing()
	case deadlineTimer:
		p.deadlineReached(t.request)
	}
}
