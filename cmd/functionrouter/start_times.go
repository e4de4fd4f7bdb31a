package main

import (
	"time"

	"functionrouter/internal/discovery"
)

// maxListingDelay is how long before an answer of the directory a worker may have started that the answer does not list
// yet. While the directory is silent, a change counts as announced after 4.5 s (docs/QUESTIONS.md); the rest is slack.
const maxListingDelay = 5 * time.Second

// maxRememberedStarts bounds the starts that are remembered of workers which the list lacks. They are remembered because
// a worker that returns to the list with the same start has not started anew. Beyond the bound all of them are forgotten.
const maxRememberedStarts = 1024

// startTimes converts the starts of workers, which the directory gives by the wall clock, to times on the loop's clock. A
// wall clock may be stepped, and that of another machine may differ; this must neither prolong slow start nor cut it
// short. So each start is converted once, and bounded by the time at which it was noticed.
type startTimes struct {
	converted map[startKey]time.Duration
}

// startKey identifies one start of a worker.
type startKey struct {
	worker string // its name
	unixMs int64  // by the directory's wall clock
}

// startKeyOf returns the key of the start that the list gives for a worker.
func startKeyOf(e discovery.Endpoint) startKey {
	return startKey{worker: e.Name, unixMs: e.StartedUnixMs}
}

// update converts the starts in a new list that it does not know yet. fromWallClock converts a time of the wall clock to
// the loop's. previousAnswer is when the directory gave the usable answer before the one with this list, on the loop's
// clock; 0 means that there was none, so that the listed workers may have started at any time.
func (s *startTimes) update(
	list []discovery.Endpoint, now, previousAnswer time.Duration, fromWallClock func(time.Time) time.Duration,
) {
	if s.converted == nil {
		s.converted = map[startKey]time.Duration{}
	}
	for _, e := range list {
		key := startKeyOf(e)
		if _, known := s.converted[key]; !known && e.StartedUnixMs > 0 {
			s.converted[key] = boundStart(fromWallClock(time.UnixMilli(e.StartedUnixMs)), now, previousAnswer)
		}
	}
	if len(s.converted) > len(list)+maxRememberedStarts {
		s.forgetUnlisted(list)
	}
}

// forgetUnlisted forgets the starts that list does not hold.
func (s *startTimes) forgetUnlisted(list []discovery.Endpoint) {
	kept := make(map[startKey]time.Duration, len(list))
	for _, e := range list {
		if startedAt := s.startedAt(e); startedAt > 0 {
			kept[startKeyOf(e)] = startedAt
		}
	}
	s.converted = kept
}

// startedAt returns when a worker startedAt the last list started, on the loop's clock; 0 if that is not known or was long ago.
func (s *startTimes) startedAt(e discovery.Endpoint) time.Duration { return s.converted[startKeyOf(e)] }

// boundStart returns a time of start that agrees with now, at which the start was noticed. If the converted time does not
// agree, the clocks differ, and the start is taken to be between the previous answer and now: at now if the converted time
// is later than that, at the previous answer if it is too early.
func boundStart(converted, now, previousAnswer time.Duration) time.Duration {
	switch {
	case converted > now:
		return now
	case previousAnswer > 0 && converted < previousAnswer-maxListingDelay:
		return previousAnswer
	}
	return max(converted, 1) // of would report 0 as not known
}
