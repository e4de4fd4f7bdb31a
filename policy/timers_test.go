package policy

import "testing"

// Guards against a timer that is taken for another one: the token that the router returns must identify the timer that
// was set.
func TestTimerTokensRoundTrip(t *testing.T) {
	for _, want := range []timer{
		{kind: housekeepingTimer},
		{kind: resubscribeTimer},
		{kind: deadlineTimer, request: 0},
		{kind: deadlineTimer, request: 7},
		{kind: deadlineTimer, request: ^RequestID(0)},
	} {
		if got, ok := timerForToken(want.token()); !ok || got != want {
			t.Errorf("timer %+v has token %d, which is taken for %+v (found: %v)", want, want.token(), got, ok)
		}
	}
	if got, ok := timerForToken(deadlineTokenOffset - 1); ok {
		t.Errorf("an unknown token is taken for %+v", got)
	}
}
