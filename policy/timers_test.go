package policy

import "testing"

// Guards the timers against each other: the token that the router gives back names the timer that was set.
func TestTimerTokensRoundTrip(t *testing.T) {
	for _, want := range []timer{
		{kind: housekeepingTimer},
		{kind: resubscribeTimer},
		{kind: deadlineTimer, request: 0},
		{kind: deadlineTimer, request: 7},
		{kind: deadlineTimer, request: ^RequestID(0)},
	} {
		if got, ok := timerForToken(want.token()); !ok || got != want {
			t.Errorf("%+v has token %d, which is taken for %+v, %v", want, want.token(), got, ok)
		}
	}
	if got, ok := timerForToken(deadlineTokenOffset - 1); ok {
		t.Errorf("an unknown token is taken for %+v", got)
	}
}
