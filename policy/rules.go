package policy

import "time"

// emit appends an action unless a rule forbids it. All actions pass here: no mistake elsewhere breaks a rule.
func (p *Policy) emit(action Action) bool {
	allowed := true
	switch a := action.(type) {
	case SendAttempt:
		r, w := p.requests[a.Request], p.workers[a.Worker]
		allowed = r != nil && w != nil && p.sendAllowed(r, w)
	case RefuseRequest:
		r := p.requests[a.Request]
		allowed = r != nil && !r.finished
		if allowed && !p.repeatHarmless(r) {
			action = FailRequest{Request: a.Request, Reason: a.Reason}
		}
	case LoadInstance:
		w := p.workers[a.Worker]
		allowed = w != nil && p.cfg.AllowLoadCommands && (a.Instances <= 0 || w.State == Ready && p.takeLoadCommand())
	case Subscribe:
		allowed = p.cfg.RequiresSubscription && !p.subscribed
	case CheckHealth:
		allowed = p.cfg.AllowHealthChecks
	case CancelAttempt:
		allowed = p.cfg.AllowCancel
	}
	if allowed {
		p.actions = append(p.actions, action)
	}
	return allowed
}

// repeatHarmless reports whether the client may repeat r, at whatever worker that ends.
func (p *Policy) repeatHarmless(r *request) bool {
	c := &p.classes[r.Class]
	return r.mayHaveRun == nil && r.outstanding == 0 || c.Idempotency == Idempotent ||
		c.Idempotency == IdempotentWithKey && c.DedupScope == DedupFleet
}

// sendAllowed reports whether r may go to w now: not beside another attempt, as hedging is not used.
func (p *Policy) sendAllowed(r *request, w *worker) bool {
	return !r.finished && !r.responseStarted && r.outstanding == 0 && w.State == Ready &&
		p.now < r.deadline && p.attemptAllowed(r, w) && p.slowStartAdmits(w, r.Class)
}

// attemptAllowed reports whether r may have another attempt at w, or with nil at a worker yet to be listed.
func (p *Policy) attemptAllowed(r *request, w *worker) bool {
	c, ran := &p.classes[r.Class], r.mayHaveRun
	left := p.cfg.MaxAttempts <= 0 || len(r.attempts) < p.cfg.MaxAttempts
	return left && (ran == nil || c.Idempotency == Idempotent ||
		c.repeatableAt(p.now+p.cfg.Tick, ran.sentAt) && (w == nil || c.DedupScope == DedupFleet ||
			c.DedupScope == DedupZone && w.Zone == ran.worker.Zone ||
			c.DedupScope == DedupCell && w.Cell == ran.worker.Cell))
}

func (c *class) repeatableAt(at, sentAt time.Duration) bool { // where its key is known
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && at < sentAt+c.DedupWindow
}
