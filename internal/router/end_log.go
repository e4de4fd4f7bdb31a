package router

import (
	"fmt"
	"log/slog"
	"time"

	"functionrouter/internal/logging"
)

// endLogInterval is the least time between two log lines on requests that ended badly.
const endLogInterval = time.Second

// CancelCause says how a client made known that it no longer waits.
type CancelCause uint8

// The causes.
const (
	ClientInterrupted  CancelCause = iota // it said so
	ClientDisconnected                    // its connection ended
)

// String returns the cause's name, as the logs give it.
func (c CancelCause) String() string {
	switch c {
	case ClientInterrupted:
		return "client_interrupted"
	case ClientDisconnected:
		return "client_disconnected"
	}
	return fmt.Sprintf("CancelCause(%d)", uint8(c))
}

// Causes of an end that are neither a CancelCause nor a policy.UnservedReason.
const overdueCause = "deadline_guard"

// endLog logs requests that ended in a way that deserves a look: failed, ended by the deadline guard, or cancelled by
// the end of the client's connection. At most one line an interval, with the latest such request and the count of all.
type endLog struct {
	throttle logging.Throttle
}

func newEndLog() endLog { return endLog{throttle: logging.Throttle{Interval: endLogInterval}} }

// record logs the end of a request, if a line is due.
func (l *endLog) record(now time.Duration, p *pendingRequest, outcome RequestOutcome, cause string) {
	l.throttle.Add()
	count, due := l.throttle.Ready(now)
	if !due {
		return
	}
	attributes := []any{"requests", count, "id", p.ID, "class", p.Class, "outcome", outcome.String(), "cause", cause,
		"age", now - p.ReceivedAt, "time_left", p.Deadline - now, "attempts", len(p.attempts)}
	if last := len(p.attempts) - 1; last >= 0 {
		attributes = append(attributes, "last_worker_id", fmt.Sprintf("%016x", uint64(p.attempts[last].worker)),
			"last_attempt_open", !p.attempts[last].ended, "may_have_run", p.mayHaveRun || p.openAttempts > 0)
	}
	slog.Info("request ended without a result", attributes...)
}
