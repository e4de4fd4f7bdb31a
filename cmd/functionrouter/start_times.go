package main

import (
	"time"

	"functionrouter/internal/discovery"
)

// maxListingDelay is how long after its start a worker may be missing from the directory's answers. While the directory
// is silent, a change counts as announced after 4.5 s (docs/QUESTIONS.md); the rest is a margin.
const maxListingDelay = 5 * time.Second

// maxRememberedStarts limits how many starts of workers that are not in the list are remembered. They are remembered
// because a worker that returns to the list with the same start has not restarted. When the limit is exceeded, all of
// them are forgotten.
const maxRememberedStarts = 1024

// startTimes converts the starts of workers, which the directory gives as wall-clock times, to times on the loop's
// clock. The wall clock may be stepped, and that of another machine may differ; neither may lengthen or shorten a
// worker's slow start. Each start is therefore converted only once, and limited by the time at which the router first
// sees it in a list.
type startTimes struct {
	converted map[startKey]time.Duration
}

// startKey identifies one start of a worker.
type startKey struct {
	worker string // name of the worker
	unixMs int64  // on the directory's wall clock
}

// startKeyOf returns the key of the start that a list gives for a worker.
func startKeyOf(e discovery.Endpoint) startKey {
	return startKey{worker: e.Name, unixMs: e.StartedUnixMs}
}

// update converts the starts in a new list that have not been converted yet. fromWallClock converts a wall-clock time
// to the loop's clock. previousAnswer is when the directory gave the last usable answer before this list, on the loop's
// clock. It is 0 if there was none; the listed workers may then have started at any time.
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

// forgetUnlisted forgets the starts that are not in list.
func (s *startTimes) forgetUnlisted(list []discovery.Endpoint) {
	kept := make(map[startKey]time.Duration, len(list))
	for _, e := range list {
		if startedAt := s.startedAt(e); startedAt > 0 {
			kept[startKeyOf(e)] = startedAt
		}
	}
	s.converted = kept
}

// startedAt returns when a worker of the last list started, on the loop's clock. It returns 0 if the start is not known
// or was long ago.
func (s *startTimes) startedAt(e discovery.Endpoint) time.Duration { return s.converted[startKeyOf(e)] }

// boundStart returns a start time that is consistent with now, the time at which the router first sees the start in a
// list. If the converted time is not consistent, the clocks differ, and the start is assumed to lie between the
// previous answer and now: boundStart returns now if the converted time is later than now, and previousAnswer if the
// converted time is too early.
func boundStart(converted, now, previousAnswer time.Duration) time.Duration {
	switch {
	case converted > now:
		return now
	case previousAnswer > 0 && converted < previousAnswer-maxListingDelay:
		return previousAnswer
	}
	return max(converted, 1) // startedAt would report 0 as not known
}
