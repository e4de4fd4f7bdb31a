package eventloop

import (
	"log/slog"
	"net/netip"
	"time"

	"functionrouter/internal/logging"
)

// interruptedLogInterval is the minimum time between two log lines about connections that ended with open requests.
const interruptedLogInterval = time.Second

// interruptedLog collects the accepted connections that ended before their requests were answered, for one log line. A
// single such connection comes from a client that has stopped waiting. Many at once, or connections that their clients
// did not close, point to a fault of the router or the network.
type interruptedLog struct {
	throttle  logging.Throttle // counts the connections since the previous log line
	lastAddr  netip.AddrPort
	lastCause CloseCause
	lastError error
}

// newInterruptedLog returns an interruptedLog without connections.
func newInterruptedLog() interruptedLog {
	return interruptedLog{throttle: logging.Throttle{Interval: interruptedLogInterval}}
}

// recordClose counts the close of an accepted connection. It must be called before the handler's OnClose, because the
// handler reports no open requests after that.
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

// logInterrupted logs how many connections ended with open requests since the previous such log line, if there were
// any.
func (l *Loop) logInterrupted() {
	count, due := l.interrupted.throttle.Ready(l.now)
	if !due {
		return
	}
	slog.Info("client connections ended with open requests", "connections", count,
		"last_address", l.interrupted.lastAddr, "last_cause", l.interrupted.lastCause, "last_error", l.interrupted.lastError)
}
