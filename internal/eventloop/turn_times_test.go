package eventloop

import (
	"testing"
	"time"
)

// Guards the measurement by which operators tell which part of a turn delays answers.
func TestTurnTimes(t *testing.T) {
	m := newTurnMonitor()
	const start = time.Hour
	for _, scale := range []time.Duration{1, 3, 2} {
		m.begin(start, 100)
		m.endPart(&m.current.Events, start+10*scale)
		m.endPart(&m.current.EndOfTurn, start+30*scale)
		m.endPart(&m.current.Writes, start+60*scale)
		m.end(start+60*scale, 150)
	}
	l := &Loop{turns: m}
	want := TurnTimes{Total: 180, Events: 30, EndOfTurn: 60, Writes: 90, ClientInput: 50}
	if got := l.TakeTurnCounts(); got.Turns != 3 || got.Longest != want {
		t.Errorf("%d turns, the longest %+v; want 3, %+v", got.Turns, got.Longest, want)
	}
	if got := l.TakeTurnCounts(); got.Turns != 3 || got.Longest != (TurnTimes{}) {
		t.Errorf("the second time %d turns, the longest %+v; want 3, and none", got.Turns, got.Longest)
	}
}
