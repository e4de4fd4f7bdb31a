package policy

import (
	"testing"
	"time"
)

// Guards against a count within a window that takes memory for each event of a flood, and against a wrong count.
func TestRecentEvents(t *testing.T) {
	var r recentEvents
	for n := range 10_000 {
		now := time.Duration(n/100) * ms // 100 events at each clock reading
		r.dropBefore(now - 10*ms)
		r.add(now)
		want := n%100 + 1 + 100*min(n/100, 10)
		if r.count != want || len(r.entries) > 2*12 {
			t.Fatalf("after %d events: %d count in %d entries, want %d in at most 24", n+1, r.count, len(r.entries), want)
		}
	}
}
