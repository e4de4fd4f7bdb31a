package eventloop

import (
	"log/slog"
	"net/netip"
	"time"

	"functionrouter/internal/logging"
)

// interruptedLogInterval is the least time between two log lines on connections that ended with open requests.
const interruptedLogInterval = time.Second

// interruptedLog collects the accepted connections that ended before their requests were answered, for one log line. A
// single one is a client that no longer waits; many at once, or ends of clients that did not close, point to a fault of the
// router or the network.
type interruptedLog struct {
	throttle  logging.Throttle // counts the connections
	lastAddr  netip.AddrPort
	lastCause CloseCause
	lastError error
}

// newInterruptedLog returns an interruptedLog without connections.
func newInterruptedLog() interruptedLog {
	return interruptedLog{throttle: logging.Throttle{Interval: interruptedLogInterval}}
}

// recordClose counts the end of an accepted connection. It must be called before the handler's OnClose, after which no
// request counts as open.
func (l *Loop) recordClose(c *Conn, cause CloseCause, err error) {
	l.closeCounts[cause]++
	if !c.hasOpenRequests() {
		return
	}
	l.interrupted.throttle.Add()
	l.interrupted.lastAddr = c.RemoteAddr()
	l.interrupted.lastCause = cause
	l.interrupted.lastError = err
}

// logInterrupted logs how many connections ended with open requests since the last line, if any.
func (l *Loop) logInterrupted() {
	count, due := l.interrupted.throttle.Ready(l.now)
	if !due {
		return
	}
	slog.Info("client connections ended with open requests", "connections", count,
		"last_address", l.interrupted.lastAddr, "last_cause", l.interrupted.lastCause, "last_error", l.interrupted.lastError)
}
