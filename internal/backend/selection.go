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
	// The connection can't carry the call.
	notEligible preference = iota // not eligible
	// Its keep-alive check is unanswered.
	unresponsive // unresponsive
	// Calls wait for the end of its dial.
	beingDialed // being dialed
	// It is open, and no keep-alive check is unanswered.
	responsive // responsive
)

// selectConnection returns the connection for call, or nil if there is none and none may be opened. It
// chooses the most preferred connection with the fewest attempts. Where that one is unresponsive or has
// attemptsBeforeDial attempts, it opens a new one, as long as the limits allow.
func (p *Pool) selectConnection(w *worker, call *pendingCall) *connection {
	best, highest := p.bestConnection(w, call)
	if highest > unresponsive && best.pendingAttempts < attemptsBeforeDial {
		return best
	}
	canDial := len(w.connections) < maxConnectionsPerWorker && w.address != ""
	if !canDial || !p.reserveConnection() {
		return best
	}
	return p.dial(w)
}

// bestConnection returns w's most preferred connection for call, of several the one with the fewest attempts and among
// these the oldest. It returns nil and notEligible if none may carry the call.
func (p *Pool) bestConnection(w *worker, call *pendingCall) (best *connection, highest preference) {
	for _, c := range w.connections {
		rating := p.preferenceFor(c, call)
		if rating == notEligible {
			continue
		}
		hasFewerAttempts := rating == highest && c.pendingAttempts < best.pendingAttempts
		if rating > highest || hasFewerAttempts {
			best = c
			highest = rating
		}
	}
	return best, highest
}

// preferenceFor rates c for call. A connection carries no two calls with the same wire id at once.
func (p *Pool) preferenceFor(c *connection, call *pendingCall) preference {
	if !c.takesCalls() || c.transport == nil || c.pending[call.wireID] != nil {
		return notEligible
	}
	if call.kind == attemptCall && !p.mayCarryAttempt(c, call) {
		return notEligible
	}
	switch {
	case c.keepAlive.awaitsAnswer():
		return unresponsive
	case c.state == connecting:
		return beingDialed
	default:
		return responsive
	}
}

// mayCarryAttempt reports whether c may carry one more attempt: it carries no more at once than a worker accepts, and none
// whose wire id it remembers (see recentIDs).
func (p *Pool) mayCarryAttempt(c *connection, call *pendingCall) bool {
	return c.pendingAttempts < p.cfg.MaxStreamsPerConnection &&
		!c.recentIDs.contains(call.wireID) &&
		!c.recentIDs.full()
}

// reserveConnection reports whether one more connection may be opened. At the limit on all connections, the
// one that has been idle for longest is closed to make room, so that workers that appear late get connections.
func (p *Pool) reserveConnection() bool {
	total := 0
	var longestIdle *connection
	for _, w := range p.workers {
		total += len(w.connections)
		for _, c := range w.connections {
			if c.state != ready || !c.idle() {
				continue
			}
			if longestIdle == nil || c.lastUsedAt < longestIdle.lastUsedAt {
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

// dial opens a connection to w. It is not eligible for calls until Config.Dial has returned its transport.
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
