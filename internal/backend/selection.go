package backend

const (
	// maxConnectionsPerWorker is the limit on the connections to one worker, in any state. At the limit, open
	// connections carry up to Config.MaxStreamsPerConnection attempts each.
	maxConnectionsPerWorker = 10

	// attemptsBeforeDial is the number of pending attempts on a connection at which the pool dials another connection,
	// although the first could carry more. A lost connection ends all calls that are pending on it. A higher value
	// opens fewer connections, and the loss of one connection ends more calls.
	attemptsBeforeDial = 4
)

// preference ranks the connections for a call. A connection with the highest preference is selected, so the constants
// must stay in ascending order.
type preference uint8

const (
	// The connection must not carry the call.
	notEligible preference = iota // not eligible
	// The connection has an unanswered keep-alive check, or written bytes that the worker does not take.
	unresponsive // unresponsive
	// The connection would queue the call until its dial ends.
	beingDialed // being dialed
	// The connection is open, and neither applies.
	responsive // responsive
)

// selectConnection returns the connection for call, or nil if no connection is eligible and the limits allow no new
// one. It selects the connection with the highest preference and, among equals, the fewest attempts. If no connection
// is eligible, or if the selected one is unresponsive or has attemptsBeforeDial or more attempts, it dials a new
// connection if the limits allow it. To do so it may close an idle connection (see ensureCapacityForDial). The caller
// must send the call immediately, because a new connection is dialed only to carry it.
func (p *Pool) selectConnection(w *worker, call *pendingCall) *connection {
	best, highest := p.bestConnection(w, call)
	if highest > unresponsive && best.pendingAttempts < attemptsBeforeDial {
		return best
	}
	canDial := len(w.connections) < maxConnectionsPerWorker && w.address != ""
	if !canDial || !p.ensureCapacityForDial() {
		return best
	}
	return p.dial(w)
}

// bestConnection returns w's connection with the highest preference for call. Among equals it returns the one with the
// fewest attempts, and among these the oldest. It returns nil and notEligible if no connection may carry the call.
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

// preferenceFor returns the preference of c for call. A connection must not carry two calls with the same wire ID at
// the same time, because an answer identifies its call only by the wire ID.
func (p *Pool) preferenceFor(c *connection, call *pendingCall) preference {
	if !c.acceptsCalls() || c.transport == nil || c.pending[call.wireID] != nil {
		return notEligible
	}
	if call.kind == attemptCall && !p.mayCarryAttempt(c, call) {
		return notEligible
	}
	switch {
	case c.keepAlive.awaitsAnswer():
		return unresponsive
	case c.state == stateConnecting:
		return beingDialed
	case c.transport.Unsent() > 0:
		return unresponsive
	default:
		return responsive
	}
}

// mayCarryAttempt reports whether c may carry the attempt call. The limits are the number of concurrent attempts that a
// worker accepts on a connection, and the stored wire IDs (see recentIDs).
func (p *Pool) mayCarryAttempt(c *connection, call *pendingCall) bool {
	return c.pendingAttempts < p.cfg.MaxStreamsPerConnection &&
		!c.recentIDs.contains(call.wireID) &&
		!c.recentIDs.full()
}

// ensureCapacityForDial reports whether one more connection may be opened. At the limit on all connections, it closes
// the connection that has been idle for longest, so that workers that are added later get connections too. The limit
// includes a closed connection until its OnClose, so each further dial at the limit closes another idle connection.
// Call ensureCapacityForDial only if a dial follows. Among connections to several workers that have been idle equally
// long, the random iteration order of the map determines which one is closed.
func (p *Pool) ensureCapacityForDial() bool {
	total := 0
	var longestIdle *connection
	for _, w := range p.workers {
		total += len(w.connections)
		for _, c := range w.connections {
			if c.state != stateReady || !c.idle() {
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

// dial opens a connection to w. The connection's state is stateConnecting, the zero value. The connection is not
// eligible for calls until Config.Dial has returned its transport.
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
