package router

import (
	"fmt"
	"log/slog"
	"time"

	"functionrouter/internal/logging"
)

// noResultLogInterval is the minimum time between two log lines about requests that ended without a result.
const noResultLogInterval = time.Second

// deadlineGuardCause is the cause that is logged for a request that enforceDeadline ended. The other logged causes are
// the names of CancelCause and policy.UnservedReason.
const deadlineGuardCause = "deadline_guard"

// noResultLog logs requests that the policy failed, that enforceDeadline ended, or whose client's connection ended. It
// does not log requests that were served, refused by the policy or interrupted by the client, nor those that Submit and
// RefuseAtOnce answer themselves. It writes at most one line per noResultLogInterval. A line describes one request and
// gives the number of requests recorded since the previous line.
type noResultLog struct {
	throttle logging.Throttle
}

func newNoResultLog() noResultLog {
	return noResultLog{throttle: logging.Throttle{Interval: noResultLogInterval}}
}

// record counts the end of a request and logs the request if a line is due.
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
		"input_wait", p.InputWait,
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
