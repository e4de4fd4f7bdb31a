package backend

const (
	// maxConnectionsPerWorker bounds the connections to one worker, in any state. At the limit the open ones carry up to
	// Config.MaxStreamsPerConnection attempts each.
	maxConnectionsPerWorker = 10

	// attemptsBeforeDial is how many attempts a connection holds before another is opened, although it could take more: a
	// connection that breaks ends all of its calls. A higher value opens fewer connections, and one that breaks then ends
	// more calls.
	attemptsBeforeDial = 4
)

// preference orders the connections that may carry a call: one with the highest is chosen. The order of the constants
// counts.
type preference uint8

const (
	// The connection can't carry the call.
	notEligible preference = iota // not eligible
	// Its keep-alive check is unanswered.
	unresponsive // unresponsive
	// It would queue the call until the end of its dial.
	beingDialed // being dialed
	// It is open, and no keep-alive check is unanswered.
	responsive // responsive
)

// selectConnection returns the connection for call, or nil if there is none and none may be opened. It chooses the most
// preferred connection with the fewest attempts. If there is none, or if that one is unresponsive or has attemptsBeforeDial
// attempts, it dials a new one where the limits allow. For that it may close an idle connection (see reserveConnection).
// The caller sends the call at once: a new connection without a call would be dialed in vain.
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

// preferenceFor rates c for call. A connection carries no two calls with the same wire id at once, because an answer names
// its call by that alone.
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
	default:
		return responsive
	}
}

// mayCarryAttempt reports whether c may carry one more attempt, call: it carries no more at once than a worker accepts, and
// none whose wire id it remembers (see recentIDs).
func (p *Pool) mayCarryAttempt(c *connection, call *pendingCall) bool {
	return c.pendingAttempts < p.cfg.MaxStreamsPerConnection &&
		!c.recentIDs.contains(call.wireID) &&
		!c.recentIDs.full()
}

// ensureCapacityForDial reports whether one more connection may be opened. At the limit on all connections, it closes the one
// that has been idle for longest to make room, so that workers that appear late get connections. It does so for each new
// connection: a closed one counts until its OnClose. Call it only if a dial follows. Which one it closes of several that
// have been idle equally long is left to the iteration of the map.
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

// dial opens a connection to w, whose state is the zero value, stateConnecting. It is not eligible for calls until Config.Dial
// has returned its transport.
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
