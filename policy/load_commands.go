package policy

import (
	"slices"
	"time"
)

// loadedAlreadyDivisor separates a load command that found the function loaded, or nearly loaded, from one
// that waited for a whole load: the former took at most the hinted load time divided by this value.
const loadedAlreadyDivisor = 5

// loadCommandBudget bounds the load commands within a window: an allowance, and additional commands for each
// request that arrived in the window.
type loadCommandBudget struct {
	window     time.Duration // 0: no bound
	allowance  float64       // load commands that are always allowed
	perRequest float64       // additional commands per request
	commands   recentEvents  // the commands within the window
	requests   recentEvents  // the requests within the window
}

func newLoadCommandBudget(cfg *Config) loadCommandBudget {
	return loadCommandBudget{
		window:     cfg.LoadCommandWindow,
		allowance:  cfg.LoadCommandAllowance,
		perRequest: cfg.LoadCommandsPerRequest,
	}
}

// recordRequest counts a request that arrived at now.
func (b *loadCommandBudget) recordRequest(now time.Duration) {
	if b.window > 0 {
		b.requests.dropBefore(now - b.window)
		b.requests.add(now)
	}
}

// recordCommand counts a load command that is sent at now.
func (b *loadCommandBudget) recordCommand(now time.Duration) {
	if b.window > 0 {
		b.commands.add(now)
	}
}

// allowsAnother reports whether one more load command at now stays within the budget. It counts a command
// that was sent exactly at the start of the window, but not a request that arrived exactly then, so the
// budget is kept whether or not the start belongs to the window.
func (b *loadCommandBudget) allowsAnother(now time.Duration) bool {
	if b.window <= 0 {
		return true
	}
	b.commands.dropBefore(now - b.window)
	b.requests.dropBefore(now - b.window + 1)
	budget := b.allowance + b.perRequest*float64(b.requests.count)
	return float64(b.commands.count+1) <= budget
}

// loadCommandAllowed reports whether a load command may be sent: to a ready worker, within the budget. A
// command that only asks for the number of instances may be sent to any known worker and is not charged.
func (p *Policy) loadCommandAllowed(a LoadInstance) bool {
	w := p.workers[a.Worker]
	if w == nil || !p.cfg.AllowLoadCommands {
		return false
	}
	if a.Instances <= 0 {
		return true
	}
	return w.endpoint.State == Ready && p.loadCommands.allowsAnother(p.now)
}

// waitForLoad makes r wait for a load at i's worker, which lacks r's function. It commands the load unless a
// command is pending. It returns false if the rules or the budget forbid the command. Otherwise, r may be
// sent to this worker again after the load, although an attempt there has failed.
func (p *Policy) waitForLoad(r *request, i *instance) bool {
	if !i.loadCommandPending && !p.commandLoad(i, r.function) {
		return false
	}
	i.waiting.add(r)
	r.triedWorkers = slices.DeleteFunc(r.triedWorkers, func(w *worker) bool { return w == i.worker })
	return true
}

// commandLoad commands i's worker to load f, and reports whether the command was allowed.
func (p *Policy) commandLoad(i *instance, f *function) bool {
	if !p.emit(LoadInstance{Worker: i.worker.id(), Function: f.id, Instances: 1}) {
		return false
	}
	i.worker.loadCommands++
	i.loadCommandPending = true
	i.loadEndsAt = p.now + p.predictedLoadTime(f).duration()
	return true
}

// loadCommandEnded handles the result of a load command and places the requests that waited for it.
func (p *Policy) loadCommandEnded(e LoadCommandEnded) {
	w := p.workers[e.Worker]
	if w == nil || w.instances[e.Function] == nil || !w.instances[e.Function].loadCommandPending {
		return
	}
	i := w.instances[e.Function]
	i.loadCommandPending = false
	i.loadEndsAt = 0
	w.loadCommands--
	if f := p.functions[e.Function]; f != nil { // it may have been deleted since the command was sent
		p.learnFromLoadCommand(i, f, e)
	}
	// After a reset the worker may still be used, because a reset may affect a single connection only.
	workerUsable := e.Outcome == Served || e.Outcome == ConnectionReset
	for _, r := range i.waiting.takeAll() {
		if !workerUsable {
			r.triedWorkers = append(r.triedWorkers, w)
		}
		p.place(r)
	}
}

// learnFromLoadCommand learns from the result of a load command.
func (p *Policy) learnFromLoadCommand(i *instance, f *function, e LoadCommandEnded) {
	w := i.worker
	switch e.Outcome {
	case Served:
		p.recordWorkerAnswered(w)
		i.warmUntil = p.now + p.cfg.InstanceKeepAlive
		p.announce(i, f)
		if wholeLoad := e.Duration > f.loadTime/loadedAlreadyDivisor; wholeLoad {
			p.loadSucceeded(nanoseconds(e.Duration), f)
		}
	case Errored:
		p.loadBackoff.extend(p.now, 1)
	case Unreachable:
		p.eject(w)
	case ConnectionReset:
		// A reset may affect a single connection only. A health check shows whether the worker failed. If
		// health checks are not allowed, the worker is ejected.
		if !w.health.checkPending && !p.checkHealth(w) {
			p.eject(w)
		}
	}
}
