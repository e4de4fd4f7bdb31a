package backend

import (
	"slices"
	"time"

	"functionrouter/policy"
)

// SweepInterval is the interval at which Pool.Sweep should be called. It is the maximum delay with which the pool
// detects that a timeout of a connection has expired; a dial has its own timeout.
const SweepInterval = 50 * time.Millisecond

// idleCloseFraction is the fraction of the workers' idle timeout after which the pool closes an idle connection. The
// rest of the timeout is a margin for the time that a call takes to reach the worker, and for the SweepInterval.
const idleCloseFraction = 0.8

// Sweep does the pool's periodic work at now, a reading of the event loop's clock. It closes ready connections that
// have been idle for too long and draining connections without pending calls, retires connections that are full of
// recent wire IDs, checks that the other ready connections still work, and removes workers that are gone and have no
// connections. Call it every SweepInterval.
func (p *Pool) Sweep(now time.Duration) {
	p.SetNow(now)
	for id, w := range p.workers {
		for _, c := range slices.Clone(w.connections) {
			p.sweepConnection(c)
		}
		if w.state == policy.Gone && len(w.connections) == 0 {
			delete(p.workers, id)
		}
	}
}

// sweepConnection does the periodic work for one connection. After the rotation of recentIDs, only the first case that
// applies is executed.
func (p *Pool) sweepConnection(c *connection) {
	c.recentIDs.rotate(p.now, p.cfg.RecentIDLifetime)
	switch {
	case c.state == stateConnecting: // the dial has a timeout of its own
	case c.state == stateReady && c.recentIDs.full():
		c.retire() // it can't carry new attempts for seconds, but maxConnectionsPerWorker includes it
	case c.state != stateReady: // draining, or closed while OnClose has not been called yet
		if c.idle() {
			c.close()
		}
	case c.idle() && p.now-c.lastUsedAt > p.idleCloseAfter():
		c.close()
	case c.partial.hasStalled(p.now):
		c.closeWithError(errStalledAnswer)
	default:
		c.checkResponsiveness()
	}
}

// idleCloseAfter returns how long a connection may be idle before the pool closes it. It is less than the workers' idle
// timeout, because an attempt that is in transit when the worker closes the connection is reported as one that may have
// run.
func (p *Pool) idleCloseAfter() time.Duration {
	return time.Duration(idleCloseFraction * float64(p.cfg.IdleTimeout))
}
