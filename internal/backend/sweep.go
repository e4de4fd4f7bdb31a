package backend

import (
	"slices"
	"time"

	"functionrouter/policy"
)

// SweepInterval is the time after which Pool.Sweep should be called again. The timeouts of connections, those of dials
// aside, are noticed that much later at most.
const SweepInterval = 50 * time.Millisecond

// idleCloseFraction is the part of the workers' idle timeout after which the pool closes an idle connection. The rest is a
// margin for the time that a call takes to reach the worker, and for the SweepInterval.
const idleCloseFraction = 0.8

// Sweep does the periodic work at now, a reading of the event loop's clock: it closes connections that are idle or of no
// further use, checks that the others still work, and forgets workers that are gone and have no connections. Call it every
// SweepInterval.
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

// sweepConnection does the periodic work of one connection: the first of these steps that applies.
func (p *Pool) sweepConnection(c *connection) {
	c.recentIDs.rotate(p.now)
	switch {
	case c.state == stateConnecting: // the dial has a timeout of its own
	case c.state == stateReady && c.recentIDs.full():
		c.retire() // it would carry no attempt for seconds, and count towards maxConnectionsPerWorker
	case c.state != stateReady: // draining, or closed and without its OnClose yet
		if c.idle() {
			c.close()
		}
	case c.idle() && p.now-c.lastUsedAt > p.idleCloseAfter():
		c.close()
	case c.partial.hasStalled(p.now):
		c.closeWithError(errStalledAnswer)
	default:
		c.checkKeepAlive()
	}
}

// idleCloseAfter returns how long a connection may be idle. It is less than the workers' own limit: a call that is on its
// way when the worker closes the connection would count as one that may have run.
func (p *Pool) idleCloseAfter() time.Duration {
	return time.Duration(idleCloseFraction * float64(p.cfg.IdleTimeout))
}
