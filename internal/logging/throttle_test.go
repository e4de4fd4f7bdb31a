package logging

import (
	"testing"
	"time"
)

func TestThrottle(t *testing.T) {
	throttle := Throttle{Interval: time.Second}
	for _, step := range []struct {
		name   string
		add    int
		now    time.Duration
		events int
		due    bool
	}{
		{"no events", 0, time.Hour, 0, false},
		{"the first event", 1, time.Hour, 1, true},
		{"more events within the interval", 5, time.Hour + time.Second, 0, false},
		{"after the interval", 2, time.Hour + time.Second + 1, 7, true},
		{"no events since the last line", 0, 2 * time.Hour, 0, false},
	} {
		t.Run(step.name, func(t *testing.T) {
			for range step.add {
				throttle.Add()
			}
			if events, due := throttle.Ready(step.now); events != step.events || due != step.due {
				t.Errorf("got %d events, due %v; want %d, %v", events, due, step.events, step.due)
			}
		})
	}
}
