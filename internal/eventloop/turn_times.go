package eventloop

import (
	"log/slog"
	"time"

	"functionrouter/internal/logging"
)

const (
	// longTurnThreshold is how long a turn takes at least that is logged. Input that arrives during a turn waits until it
	// ends, and answers are written at its end, so that a turn of this length delays them by as much.
	longTurnThreshold = 25 * time.Millisecond

	// turnLogInterval is the minimum time between two log lines about long turns.
	turnLogInterval = time.Second
)

// TurnTimes tells how long a turn took, in total and by its parts, without the wait before it.
type TurnTimes struct {
	Total       time.Duration
	Events      time.Duration // handling events, with the calls that were deferred or posted
	EndOfTurn   time.Duration // the function endTurn of Run
	Writes      time.Duration // writing what the turn has queued, and the sweep
	ClientInput int           // bytes that were read from clients
}

// TurnCounts summarizes the turns of a loop.
type TurnCounts struct {
	Turns   uint64    // since the start
	Longest TurnTimes // since the previous call of TakeTurnCounts
}

// turnMonitor measures the turns of a loop.
type turnMonitor struct {
	counts      TurnCounts
	current     TurnTimes
	startedAt   time.Duration // when the present turn began
	partBegan   time.Duration // when the present part of the turn began
	inputBefore int           // Loop.clientBytes when the turn began
	longTurns   logging.Throttle
	longest     TurnTimes // the longest turn since the last log line
}

func newTurnMonitor() turnMonitor {
	return turnMonitor{longTurns: logging.Throttle{Interval: turnLogInterval}}
}

// begin starts the measurement of a turn.
func (m *turnMonitor) begin(now time.Duration, clientBytes int) {
	m.current = TurnTimes{}
	m.startedAt = now
	m.partBegan = now
	m.inputBefore = clientBytes
}

// endPart records that a part of the turn has ended at now.
func (m *turnMonitor) endPart(part *time.Duration, now time.Duration) {
	*part = now - m.partBegan
	m.partBegan = now
}

// end ends the measurement of a turn, and logs the longest turn at most once per turnLogInterval if it was long.
func (m *turnMonitor) end(now time.Duration, clientBytes int) {
	m.current.Total = now - m.startedAt
	m.current.ClientInput = clientBytes - m.inputBefore
	m.counts.Turns++
	if m.current.Total > m.counts.Longest.Total {
		m.counts.Longest = m.current
	}
	if m.current.Total >= longTurnThreshold {
		m.longTurns.Add()
	}
	if m.current.Total > m.longest.Total {
		m.longest = m.current
	}
	if count, due := m.longTurns.Ready(now); due {
		slog.Warn("long turns of the event loop", "turns", count, "longest", m.longest.Total, "events", m.longest.Events,
			"end_of_turn", m.longest.EndOfTurn, "writes", m.longest.Writes, "client_input_bytes", m.longest.ClientInput)
		m.longest = TurnTimes{}
	}
}

// TakeTurnCounts returns a summary of the turns, and begins to look for the next longest one.
func (l *Loop) TakeTurnCounts() TurnCounts {
	counts := l.turns.counts
	l.turns.counts.Longest = TurnTimes{}
	return counts
}
