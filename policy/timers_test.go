package policy

import "testing"

// Guards against a token that is decoded as another timer: the token that the router passes back in TimerFired must
// identify the timer that the policy set.
func TestTimerTokensRoundTrip(t *testing.T) {
	for _, want := range []timer{
		{kind: housekeepingTimer},
		{kind: resubscribeTimer},
		{kind: placementTimer},
		{kind: deadlineTimer, request: 0},
		{kind: deadlineTimer, request: 7},
		{kind: deadlineTimer, request: ^RequestID(0)},
	} {
		if got, ok := timerForToken(want.token()); !ok || got != want {
			t.Errorf("timer %+v has token %d, which is decoded as %+v, %v, want the same timer, true", want, want.token(), got, ok)
		}
	}
	if got, ok := timerForToken(deadlineTokenOffset - 1); ok {
		t.Errorf("an unknown token is decoded as %+v, want no timer", got)
	}
}
