package router

import (
	"fmt"
	"log/slog"
	"time"

	"functionrouter/internal/logging"
)

// noResultLogInterval is the least time between two log lines on requests that ended without a result.
const noResultLogInterval = time.Second

// deadlineGuardCause is the logged cause of a request that the router ended at its deadline, see enforceDeadline. The
// other causes are those of CancelCause and policy.UnservedReason.
const deadlineGuardCause = "deadline_guard"

// noResultLog logs the requests whose end deserves a look: those that failed, those that enforceDeadline ended, and those
// that were cancelled by the end of the client's connection. Requests that were served, refused or interrupted are not
// logged. It writes at most one line per noResultLogInterval, which describes one request and counts all of them since
// the line before.
type noResultLog struct {
	throttle logging.Throttle
}

func newNoResultLog() noResultLog {
	return noResultLog{throttle: logging.Throttle{Interval: noResultLogInterval}}
}

// record counts the end of a request, and logs it if a line is due.
func (l *noResultLog) record(now time.Duration, p *pendingRequest, outcome RequestOutcome, cause string) {
	l.throttle.Add()
	count, due := l.throttle.Ready(now)
	if !due {
		return
	}
	attributes := []any{
		"requests", count,
		"id", p.ID,
		"class", p.Class,
		"outcome", outcome.String(),
		"cause", cause,
		"age", now - p.ReceivedAt,
		"time_left", p.Deadline - now,
		"attempts", len(p.attempts),
	}
	if len(p.attempts) > 0 {
		last := p.attempts[len(p.attempts)-1]
		attributes = append(attributes,
			"last_worker_id", fmt.Sprintf("%016x", uint64(last.worker)),
			"last_attempt_open", !last.ended,
			"may_have_run", p.mayHaveRun())
	}
	slog.Info("request ended without a result", attributes...)
}
