package policy

import (
	"encoding/binary"
	"slices"
	"time"
)

const (
	loadRatioGain          = 0.2 // weight of one load in the ratio of real to hinted load time
	gossipEntrySize        = 16  // the big-endian ids of a worker and of a function that it has loaded
	gossipMaxEntries       = 16  // in a message
	gossipBudgetPerRequest = 2   // receivers that a request pays for, however many routers there are
)

type instance struct { // what the policy believes of a function at a worker
	worker                 *worker
	warmUntil, announcedAt time.Duration // announcedAt: to the other routers
	loadEndsAt             time.Duration // a load under way is expected to end then; 0: none
	inFlight, concurrency  int           // our requests; as many as were seen to be served at a time
	loadCommandPending     bool          // by us, without an answer yet
	waiting                []*request    // for that answer
}

func (i *instance) forget() { i.warmUntil, i.loadEndsAt, i.concurrency = 0, 0, 0 }

type loadBackoff struct { // while loads fail, at whatever worker, they begin one at a time
	failures int           // since a load succeeded
	until    time.Duration // no load begins before
}

func (b *loadBackoff) extend(now time.Duration, failures int) {
	b.failures += failures
	b.until = now + housekeepingInterval<<min(b.failures, 5)
}

func (p *Policy) loadSucceeded(took float64, f *function) {
	p.loadBackoff = loadBackoff{}
	p.loadRatio += loadRatioGain * (clamp(took/float64(f.loadTime), 0.2, 10) - p.loadRatio)
}

type loadCommandBudget struct{ commands, requests []time.Duration } // recent ones; requests allow commands

func (p *Policy) within(window time.Duration, times []time.Duration) []time.Duration {
	return slices.DeleteFunc(times, func(t time.Duration) bool { return t < p.now-window })
}

func (p *Policy) takeLoadCommand() bool {
	b, window := &p.loadCommands, p.cfg.LoadCommandWindow
	b.commands, b.requests = p.within(window, b.commands), p.within(window-1, b.requests)
	budget := p.cfg.LoadCommandAllowance + p.cfg.LoadCommandsPerRequest*float64(len(b.requests))
	if window > 0 && float64(len(b.commands)+1) > budget {
		return false
	}
	b.commands = append(b.commands, p.now)
	return true
}

func (p *Policy) requestLoad(r *request, i *instance) bool {
	if !i.loadCommandPending {
		if !p.emit(LoadInstance{Worker: i.worker.Worker, Function: r.Function, Instances: 1}) {
			return false
		}
		i.worker.loadCommands++
		i.loadCommandPending, i.loadEndsAt = true, p.now+time.Duration(p.predictedLoadTime(r.function))
	}
	i.waiting = append(i.waiting, r)
	r.triedWorkers = slices.DeleteFunc(r.triedWorkers, func(w *worker) bool { return w == i.worker })
	return true
}

func (p *Policy) loadCommandEnded(e LoadCommandEnded) {
	w, f := p.workers[e.Worker], p.functions[e.Function]
	if w == nil || f == nil || !w.instance(f.id).loadCommandPending {
		return
	}
	i := w.instance(f.id)
	i.loadCommandPending, i.loadEndsAt = false, 0
	w.loadCommands--
	switch e.Outcome {
	case Served:
		p.recordAlive(w)
		i.warmUntil = p.now + p.cfg.InstanceKeepAlive
		p.announce(i, f)
		if e.Duration > f.loadTime/5 { // else it was loaded already, or nearly
			p.loadSucceeded(float64(e.Duration), f)
		}
	case Errored:
		p.loadBackoff.extend(p.now, 1)
	case ConnectionReset, Unreachable: // a connection may break alone: a health check tells
		if e.Outcome == Unreachable || !w.checkingHealth && !p.checkHealth(w) {
			p.eject(w)
		}
	}
	waiting := i.waiting
	i.waiting = nil
	for _, r := range waiting {
		if e.Outcome != Served && e.Outcome != ConnectionReset {
			r.triedWorkers = append(r.triedWorkers, w)
		}
		p.place(r)
	}
}

type gossipOutbox struct {
	entries []byte  // of loaded instances
	budget  float64 // receivers that may be told
}

func (p *Policy) announce(i *instance, f *function) {
	if p.cfg.AllowGossip && p.cfg.RouterCount > 1 && p.now-i.announcedAt > p.cfg.InstanceKeepAlive/4 {
		i.announcedAt = p.now
		p.gossip.entries = binary.BigEndian.AppendUint64(p.gossip.entries, uint64(i.worker.Worker))
		p.gossip.entries = binary.BigEndian.AppendUint64(p.gossip.entries, uint64(f.id))
	}
}

func (p *Policy) sendGossip() {
	g, peers := &p.gossip, float64(p.cfg.RouterCount-1)
	g.entries = g.entries[max(0, len(g.entries)-gossipMaxEntries*gossipEntrySize):]
	if len(g.entries) > 0 && g.budget >= peers && p.emit(SendGossip{To: -1, Data: slices.Clone(g.entries)}) {
		g.entries, g.budget = g.entries[:0], g.budget-peers
	}
}

func (p *Policy) gossipReceived(entries []byte) {
	for ; len(entries) >= gossipEntrySize; entries = entries[gossipEntrySize:] {
		if w := p.workers[WorkerID(binary.BigEndian.Uint64(entries))]; w != nil && w.State == Ready {
			i := w.instance(FunctionID(binary.BigEndian.Uint64(entries[8:])))
			i.warmUntil = max(i.warmUntil, p.now+p.cfg.InstanceKeepAlive*9/10)
		}
	}
}
