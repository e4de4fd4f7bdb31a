package policy

import "time"

// emit passes an action to the router if the rules allow it, and reports whether they did. Every action
// passes through emit, so that a fault elsewhere in the package cannot break a rule. A caller whose state
// depends on the action changes this state only if the action was emitted. emit applies these steps:
//
//  1. It drops an action that the settings or the rules forbid.
//  2. It charges a load command to the budget, unless the command only asks for the number of instances.
//  3. It turns a refusal of a request whose repeat may do harm into a failure, and reports it as emitted.
func (p *Policy) emit(action Action) (emitted bool) {
	if !p.allowed(action) {
		return false
	}
	if load, ok := action.(LoadInstance); ok && load.Instances > 0 {
		p.loadCommands.recordCommand(p.now)
	}
	if refusal, ok := action.(RefuseRequest); ok && !p.repeatIsHarmless(p.requests[refusal.Request]) {
		action = FailRequest{Request: refusal.Request, Reason: refusal.Reason}
	}
	p.actions = append(p.actions, action)
	return true
}

// allowed reports whether the settings and the rules allow an action now. It changes no state, except that it
// drops recorded sends and arrivals that have left their time windows. Actions without a rule are allowed.
func (p *Policy) allowed(action Action) bool {
	switch a := action.(type) {
	case SendAttempt:
		r := p.requests[a.Request]
		w := p.workers[a.Worker]
		return r != nil && w != nil && p.sendAllowed(r, w)
	case RefuseRequest:
		r := p.requests[a.Request]
		return r != nil && !r.finished
	case LoadInstance:
		return p.loadCommandAllowed(a)
	case Subscribe:
		return p.cfg.RequiresSubscription && !p.subscribed
	case CheckHealth:
		return p.cfg.AllowHealthChecks
	case CancelAttempt:
		return p.cfg.AllowCancel
	default:
		return true
	}
}

// sendAllowed reports whether r may be sent to w now. r must not be finished, no part of the response may
// have reached the client, the worker must be ready, the deadline must not have passed, and the rules on
// repeats and on slow start must be met. No attempt may be in flight, because the policy does not use hedged
// requests.
func (p *Policy) sendAllowed(r *request, w *worker) bool {
	answered := r.finished || r.responseStarted
	if answered || r.attemptsInFlight > 0 {
		return false
	}
	if w.endpoint.State != Ready || p.now >= r.deadline {
		return false
	}
	return p.attemptAllowed(r, w) && p.slowStartAdmits(w, r.arrived.Class)
}

// attemptAllowed reports whether r may have another attempt at w. A nil w stands for a worker that is not
// listed yet.
func (p *Policy) attemptAllowed(r *request, w *worker) bool {
	if p.cfg.MaxAttempts > 0 && len(r.attempts) >= p.cfg.MaxAttempts {
		return false
	}
	return r.mayHaveRun == nil || p.repeatAllowed(r, w)
}

// repeatAllowed reports whether r, which may have run, may be sent again to w. A nil w stands for a worker
// that is not listed yet.
func (p *Policy) repeatAllowed(r *request, w *worker) bool {
	settings := &p.classOf(r).settings
	earlierAttempt := r.mayHaveRun
	arrivesAt := p.now + p.cfg.Tick
	if !settings.repeatableAt(arrivesAt, earlierAttempt.sentAt) {
		return false
	}
	return settings.Idempotency == Idempotent || w == nil ||
		settings.shareDedupScope(earlierAttempt.worker, w)
}

// sendWithin returns the time within which an attempt of r that is allowed now must be sent: until
// repeatAllowed no longer holds. It returns 0 if there is no limit.
func (p *Policy) sendWithin(r *request) time.Duration {
	settings := &p.classOf(r).settings
	if r.mayHaveRun == nil || settings.Idempotency != IdempotentWithKey {
		return 0
	}
	return r.mayHaveRun.sentAt + settings.DedupWindow - p.cfg.Tick - p.now
}

// repeatIsHarmless reports whether the client may repeat r, whichever worker the repeat reaches: either
// nothing ran, or a repeat does no harm at any worker. DedupWindow, the time for which workers remember a
// key, is not considered.
func (p *Policy) repeatIsHarmless(r *request) bool {
	neverRan := r.mayHaveRun == nil && r.attemptsInFlight == 0
	settings := &p.classOf(r).settings
	detectedEverywhere := settings.Idempotency == IdempotentWithKey && settings.DedupScope == DedupFleet
	return neverRan || settings.Idempotency == Idempotent || detectedEverywhere
}

// repeatableAt reports whether a request that was sent at sentAt may be sent again to arrive at repeatedAt,
// at a worker that shares the DedupScope of the earlier attempt's worker.
func (c *Class) repeatableAt(repeatedAt, sentAt time.Duration) bool {
	switch c.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return repeatedAt < sentAt+c.DedupWindow
	default:
		return false
	}
}

// shareDedupScope reports whether two workers share the store of idempotency keys.
func (c *Class) shareDedupScope(a, b *worker) bool {
	switch c.DedupScope {
	case DedupFleet:
		return true
	case DedupZone:
		return a.endpoint.Zone == b.endpoint.Zone
	case DedupCell:
		return a.endpoint.Cell == b.endpoint.Cell
	default:
		return false
	}
}
