package backend

const (
	// maxConnectionsPerWorker bounds the connections to one worker.
	maxConnectionsPerWorker = 10

	// attemptsBeforeDial is how many attempts a connection holds before another is opened although it could
	// take more: a connection that breaks ends all of its calls.
	attemptsBeforeDial = 4
)

// preference orders the connections that may carry a call: the highest is chosen.
type preference uint8

const (
	notEligible  preference = iota
	unresponsive            // a keep-alive check is unanswered
	beingDialed
	responsive
)

// selectConnection returns the connection for call, or nil if there is none and none may be opened. It
// chooses the most preferred connection with the fewest attempts. Where that one is unresponsive or has
// attemptsBeforeDial attempts, it opens a new one, as long as the limits allow.
func (p *Pool) selectConnection(w *worker, call *pendingCall) *connection {
	best, rank := p.bestConnection(w, call)
	if rank > unresponsive && best.attempts < attemptsBeforeDial {
		return best
	}
	if len(w.connections) >= maxConnectionsPerWorker || w.address == "" || !p.reserveConnection() {
		return best
	}
	return p.dial(w)
}

func (p *Pool) bestConnection(w *worker, call *pendingCall) (*connection, preference) {
	var best *connection
	rank := notEligible
	for _, c := range w.connections {
		r := p.preferenceFor(c, call)
		if r > rank || r == rank && r > notEligible && c.attempts < best.attempts {
			best = c
			rank = r
		}
	}
	return best, rank
}

// preferenceFor rates c for call. A connection carries no two calls with the same id at once, no attempt whose id it
// remembers (see recentIDs), and no more attempts at once than a worker accepts.
func (p *Pool) preferenceFor(c *connection, call *pendingCall) preference {
	if !c.takesCalls() || c.transport == nil || c.pending[call.token] != nil {
		return notEligible
	}
	if call.kind == attemptCall &&
		(c.attempts >= p.cfg.MaxStreamsPerConnection || c.recentIDs.contains(call.token) || c.recentIDs.full()) {
		return notEligible
	}
	switch {
	case c.keepAlive.checkSentAt > 0:
		return unresponsive
	case c.state == connecting:
		return beingDialed
	default:
		return responsive
	}
}

// reserveConnection reports whether one more connection may be opened. At the limit on all connections, the
// one that has been idle for longest is closed in its favour, so that workers that appear late get connections.
func (p *Pool) reserveConnection() bool {
	total := 0
	var longestIdle *connection
	for _, w := range p.workers {
		total += len(w.connections)
		for _, c := range w.connections {
			if c.state == ready && c.idle() && (longestIdle == nil || c.lastUsedAt < longestIdle.lastUsedAt) {
				longestIdle = c
			}
		}
	}
	if total < p.cfg.MaxConnections {
		return true
	}
	if longestIdle == nil {
		return false
	}
	longestIdle.close()
	return true
}

// dial opens a connection to w. Dial may report its failure before it returns; until the transport is set
// the connection is not eligible.
func (p *Pool) dial(w *worker) *connection {
	c := &connection{
		pool:       p,
		worker:     w,
		pending:    map[string]*pendingCall{},
		dialedAt:   p.now,
		lastUsedAt: p.now,
	}
	w.connections = append(w.connections, c)
	c.transport = p.cfg.Dial(w.address, p.cfg.DialTimeout, c)
	return c
}
