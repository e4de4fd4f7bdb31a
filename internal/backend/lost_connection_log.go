package backend

import (
	"log/slog"
	"time"

	"functionrouter/internal/logging"
)

// lostConnectionLogInterval is the least time between two lines on lost connections. A worker that dies ends many
// connections at once.
const lostConnectionLogInterval = time.Second

// lostConnectionLog logs the connections that ended while calls were pending on them, several in one line. Only a lost
// connection writes a line: what was counted after the last line is logged with the next one that is lost after the
// interval, whose address and error the line gives.
type lostConnectionLog struct {
	throttle     logging.Throttle // counts the lost connections since the last line
	pendingCalls int              // calls that were pending on these connections
}

// newLostConnectionLog returns a log without lost connections.
func newLostConnectionLog() lostConnectionLog {
	return lostConnectionLog{throttle: logging.Throttle{Interval: lostConnectionLogInterval}}
}

// record counts a connection to address that ended with err while calls were pending on it, and writes a line if one is
// due.
func (l *lostConnectionLog) record(now time.Duration, address string, calls int, err error) {
	l.throttle.Add()
	l.pendingCalls += calls
	connections, due := l.throttle.Ready(now)
	if !due {
		return
	}
	slog.Warn("worker connections lost",
		"connections", connections, "calls", l.pendingCalls, "last_address", address, "error", err)
	l.pendingCalls = 0
}
