package router

import (
	"log/slog"
	"time"

	"functionrouter/internal/logging"
)

// lateAnswerLogInterval is the minimum time between two log lines about late answers.
const lateAnswerLogInterval = time.Second

// lateAnswerLog logs answers that were given after their clients had stopped waiting. A line describes one answer and
// gives the number of answers recorded since the previous line.
type lateAnswerLog struct {
	throttle logging.Throttle
}

func newLateAnswerLog() lateAnswerLog {
	return lateAnswerLog{throttle: logging.Throttle{Interval: lateAnswerLogInterval}}
}

// recordLateAnswer counts the answer to a request if it is late, and logs it if a line is due.
func (r *Router) recordLateAnswer(p *pendingRequest, status Status) {
	late := r.now - p.GivesUpAt
	if p.GivesUpAt == 0 || late <= 0 {
		return
	}
	r.Counters.LateAnswers++
	r.Counters.LatestAnswer = max(r.Counters.LatestAnswer, late)
	r.lateAnswerLog.throttle.Add()
	if count, due := r.lateAnswerLog.throttle.Ready(r.now); due {
		slog.Warn("answers late", "answers", count, "id", p.ID, "class", p.Class, "outcome", status.outcome().String(),
			"late", late, "age", r.now-p.ReceivedAt, "input_wait", p.InputWait, "attempts", len(p.attempts))
	}
}
