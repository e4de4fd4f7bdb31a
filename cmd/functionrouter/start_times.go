package main

import (
	"time"

	"functionrouter/internal/discovery"
)

// maxNoticeDelay is how long after a worker's start an answer may still lack it: 4.5 s, where the directory is silent
// (counted from the beginning of that), and some slack.
const maxNoticeDelay = 5 * time.Second

// maxRememberedStarts is how many starts are remembered of workers that are not in the list: one that is back was not
// started anew.
const maxRememberedStarts = 1024

// startTimes turns the starts of workers, which the directory gives by the wall clock, into times on the loop's clock. A
// wall clock may be stepped, and that of another machine may differ; slow start must neither be prolonged nor be cut
// short by that. So the time at which a start was noticed bounds it, and it is converted once.
type startTimes struct {
	converted map[startKey]time.Duration
}

// startKey names one start of a worker.
type startKey struct {
	worker string
	unixMs int64
}

// update converts the starts in a new list. fromWallClock converts a time of the wall clock. previousAnswer is when the
// directory gave the answer before; 0: there was none, so that the list says nothing of when a worker began to be there.
func (s *startTimes) update(list []discovery.Endpoint, now, previousAnswer time.Duration, fromWallClock func(time.Time) time.Duration) {
	if s.converted == nil {
		s.converted = map[startKey]time.Duration{}
	}
	for _, e := range list {
		key := startKey{e.Name, e.Started}
		if _, known := s.converted[key]; !known && e.Started > 0 {
			s.converted[key] = boundStart(fromWallClock(time.UnixMilli(e.Started)), now, previousAnswer)
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
			kept[startKey{e.Name, e.Started}] = startedAt
		}
	}
	s.converted = kept
}

// of returns when a worker of the last list started, 0 if that is not known.
func (s *startTimes) of(e discovery.Endpoint) time.Duration {
	return s.converted[startKey{e.Name, e.Started}]
}

// boundStart returns a time of start that agrees with when it was noticed. A time that does not proves that the clocks
// differ: then nothing is known but that the start was not before the previous answer, or not after now.
func boundStart(converted, now, previousAnswer time.Duration) time.Duration {
	switch {
	case converted > now:
		return now
	case previousAnswer > 0 && converted < previousAnswer-maxNoticeDelay:
		return previousAnswer
	}
	return max(converted, 1) // 0 would mean that the start is not known
}
