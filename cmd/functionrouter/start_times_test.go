package main

import (
	"testing"
	"time"

	"functionrouter/internal/discovery"
)

// Checks that a start that the router first sees in a list is not later than now and, if there was a previous answer,
// not earlier than that answer by more than maxListingDelay. This must hold although the clocks of two machines differ
// or one clock is stepped.
func TestStartTimesBoundedByListing(t *testing.T) {
	const now = 2 * time.Hour
	wallNow := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		name           string
		age            time.Duration // age of the start on the directory's clock
		step           time.Duration // step of this machine's clock, forward
		previousAnswer time.Duration
		want           time.Duration
	}{
		{name: "clocks agree", age: time.Second, previousAnswer: now - 200*time.Millisecond, want: now - time.Second},
		{name: "clocks agree, first answer", age: time.Minute, want: now - time.Minute},
		{name: "late listing", age: 20 * time.Second, previousAnswer: now - 18*time.Second, want: now - 20*time.Second},
		{name: "stepped 2 s back", age: time.Second, step: -2 * time.Second, previousAnswer: now - 200*time.Millisecond, want: now},
		{name: "stepped 1 h back", age: time.Second, step: -time.Hour, previousAnswer: now - 200*time.Millisecond, want: now},
		{
			name: "stepped 2 s forward", age: time.Second, step: 2 * time.Second, previousAnswer: now - 200*time.Millisecond,
			want: now - 3*time.Second,
		},
		{
			name: "stepped 1 h forward", age: time.Second, step: time.Hour, previousAnswer: now - 200*time.Millisecond,
			want: now - 200*time.Millisecond,
		},
		{name: "stepped 1 h back, first answer", age: time.Second, step: -time.Hour, want: now},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := discovery.Endpoint{Name: "s-1", StartedUnixMs: wallNow.Add(-test.age).UnixMilli()}
			fromWallClock := func(at time.Time) time.Duration { return now + at.Sub(wallNow.Add(test.step)) }
			var s startTimes
			s.update([]discovery.Endpoint{e}, now, test.previousAnswer, fromWallClock)
			if got := s.startedAt(e); got != test.want {
				t.Errorf("started at %v, want %v", got, test.want)
			}
			// A start is converted only once, so a later step of the clock does not change it.
			s.update([]discovery.Endpoint{e}, now+time.Minute, now+59*time.Second, func(time.Time) time.Duration { return 1 })
			if got := s.startedAt(e); got != test.want {
				t.Errorf("a minute later, started at %v, want %v", got, test.want)
			}
		})
	}
}

// Checks that a worker that is missing from some lists keeps its start, and that the number of remembered starts is
// limited.
func TestStartTimesOfReturningWorkers(t *testing.T) {
	const now = 2 * time.Hour
	e := discovery.Endpoint{Name: "s-1", StartedUnixMs: 1}
	var s startTimes
	s.update([]discovery.Endpoint{e}, now, 0, func(time.Time) time.Duration { return time.Hour })
	s.update(nil, now+time.Second, now, nil)
	s.update([]discovery.Endpoint{e}, now+2*time.Second, now+time.Second, nil)
	if got := s.startedAt(e); got != time.Hour {
		t.Errorf("the returned worker started at %v, want %v", got, time.Hour)
	}
	for i := range 3 * maxRememberedStarts {
		e.StartedUnixMs = int64(2 + i)
		s.update([]discovery.Endpoint{e}, now, 0, func(time.Time) time.Duration { return time.Hour })
	}
	if got := len(s.converted); got > maxRememberedStarts+1 {
		t.Errorf("%d starts are remembered, want at most %d", got, maxRememberedStarts+1)
	}
}
