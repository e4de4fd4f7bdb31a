package backend

import (
	"log/slog"
	"time"

	"functionrouter/internal/logging"
)

// lostConnectionLogInterval is the minimum time between two log lines about lost connections. The exit of a worker
// process ends many connections at the same time.
const lostConnectionLogInterval = time.Second

// lostConnectionLog logs connections that ended while calls were pending on them. One line covers all connections that
// were lost since the previous line, and gives the address and the error of the last connection. A line is written only
// when a connection is lost: connections that are lost within the interval after a line are logged with the first
// connection that is lost after the interval.
type lostConnectionLog struct {
	throttle     logging.Throttle // counts the connections lost since the last line
	pendingCalls int              // number of calls that were pending on these connections
}

// newLostConnectionLog returns a lostConnectionLog that has counted no connections.
func newLostConnectionLog() lostConnectionLog {
	return lostConnectionLog{throttle: logging.Throttle{Interval: lostConnectionLogInterval}}
}

// record counts a connection to address that ended with err while this number of calls was pending on it. It writes a
// log line if one is due.
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
