package main

import (
	"time"

	"functionrouter/internal/discovery"
)

// maxNoticeDelay is how long after a worker's start the directory's answers may still lack it: 4.5 s, counted from the
// time at which the directory fell silent, and some slack.
const maxNoticeDelay = 5 * time.Second

// maxRememberedStarts is how many starts are remembered of workers that are not in the list: a worker that returns to the
// list with the same start was not started anew.
const maxRememberedStarts = 1024

// startTimes converts the starts of workers, which the directory gives by the wall clock, to times on the loop's clock. A
// wall clock may be stepped, and that of another machine may differ; this must neither prolong slow start nor cut it
// short. So each start is converted once, and bounded by the time at which it was noticed.
type startTimes struct {
	converted map[startKey]time.Duration
}

// startKey names one start of a worker.
type startKey struct {
	worker string
	unixMs int64
}

// update converts the starts in a new list. fromWallClock converts a time of the wall clock. previousAnswer is when the
// directory gave its answer before this one; it is 0 if this is the first, whose workers may have started at any time.
func (s *startTimes) update(list []discovery.Endpoint, now, previousAnswer time.Duration, fromWallClock func(time.Time) time.Duration) {
	if s.converted == nil {
		s.converted = map[startKey]time.Duration{}
	}
	for _, e := range list {
		key := startKey{e.Name, e.StartedUnixMs}
		if _, known := s.converted[key]; !known && e.StartedUnixMs > 0 {
			s.converted[key] = boundStart(fromWallClock(time.UnixMilli(e.StartedUnixMs)), now, previousAnswer)
		}
	}
	if len(s.converted) > len(list)+maxRememberedStarts {
		s.forgetOthers(list)
	}
}

// forgetOthers forgets the starts that list does not hold.
func (s *startTimes) forgetOthers(list []discovery.Endpoint) {
	kept := make(map[startKey]time.Duration, len(list))
	for _, e := range list {
		if startedAt := s.of(e); startedAt > 0 {
			kept[startKey{e.Name, e.StartedUnixMs}] = startedAt
		}
	}
	s.converted = kept
}

// of returns when a worker of the last list started, 0 if that is not known.
func (s *startTimes) of(e discovery.Endpoint) time.Duration {
	return s.converted[startKey{e.Name, e.StartedUnixMs}]
}

// boundStart returns a time of start that agrees with the time at which it was noticed. If the converted time does not
// agree, the clocks differ, and all that is known is that the start was not before the previous answer and not after now.
func boundStart(converted, now, previousAnswer time.Duration) time.Duration {
	switch {
	case converted > now:
		return now
	case previousAnswer > 0 && converted < previousAnswer-maxNoticeDelay:
		return previousAnswer
	}
	return max(converted, 1) // 0 means that the start is not known
}
