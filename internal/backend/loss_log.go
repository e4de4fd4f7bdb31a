package backend

import (
	"log/slog"
	"time"

	"functionrouter/internal/logging"
)

// lossLogInterval is the least time between two lines on lost connections. A worker that dies ends many at once.
const lossLogInterval = time.Second

// lossLog logs the connections that ended under pending calls.
type lossLog struct {
	connections logging.Throttle // counts the connections since the last line
	calls       int              // pending calls that they had
}

func newLossLog() lossLog {
	return lossLog{connections: logging.Throttle{Interval: lossLogInterval}}
}

// record counts a connection to address that ended with err under calls pending calls, and writes a line if
// one is due.
func (l *lossLog) record(now time.Duration, address string, calls int, err error) {
	l.connections.Add()
	l.calls += calls
	connections, due := l.connections.Ready(now)
	if !due {
		return
	}
	slog.Warn("worker connections lost",
		"connections", connections, "calls", l.calls, "last_address", address, "error", err)
	l.calls = 0
}
