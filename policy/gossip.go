package policy

import (
	"encoding/binary"
	"slices"
	"time"
)

const (
	// gossipEntrySize is the size of a gossip entry in bytes: the big-endian ids of a worker and of a
	// function that it has loaded. Peers read this form.
	gossipEntrySize = 16

	// gossipMaxEntries bounds the entries of a message; the latest are kept.
	gossipMaxEntries = 16

	// gossipBudgetPerRequest is how many receivers of a message a request pays for, however many routers
	// there are: it bounds the cost of gossip for each request, and with many routers messages leave less
	// often.
	gossipBudgetPerRequest = 2

	// gossipValidityPercent is the part of the keep-alive time for which an announced instance is believed to
	// be loaded. The rest is for the age of the message.
	gossipValidityPercent = 90

	// announceDivisor is the part of the keep-alive time after which a loaded instance is announced again.
	announceDivisor = 4
)

// gossipOutbox gathers what the next message to the other routers says.
type gossipOutbox struct {
	entries []byte  // of loaded instances, oldest first
	budget  float64 // receivers that may be told
}

// addBudget adds the budget of one request, up to one message to all routers.
func (g *gossipOutbox) addBudget(routers int) {
	g.budget = min(g.budget+gossipBudgetPerRequest, float64(routers))
}

// announce adds to the next message that f is loaded at i's worker, unless it was said lately.
func (p *Policy) announce(i *instance, f *function) {
	hasPeers := p.cfg.AllowGossip && p.cfg.RouterCount > 1
	if !hasPeers || p.now-i.announcedAt <= p.cfg.InstanceKeepAlive/announceDivisor {
		return
	}
	i.announcedAt = p.now
	p.gossip.entries = binary.BigEndian.AppendUint64(p.gossip.entries, uint64(i.worker.id()))
	p.gossip.entries = binary.BigEndian.AppendUint64(p.gossip.entries, uint64(f.id))
}

// sendGossip sends the gathered entries to all other routers once the budget covers it.
func (p *Policy) sendGossip() {
	g := &p.gossip
	peers := float64(p.cfg.RouterCount - 1)
	g.entries = g.entries[max(0, len(g.entries)-gossipMaxEntries*gossipEntrySize):]
	if len(g.entries) == 0 || g.budget < peers {
		return
	}
	if p.emit(SendGossip{To: -1, Data: slices.Clone(g.entries)}) {
		g.entries = g.entries[:0]
		g.budget -= peers
	}
}

// gossipReceived believes another router that functions are loaded at workers, for a little less than the
// keep-alive time. Entries of workers that are not ready here, and a last one that is cut off, are ignored.
func (p *Policy) gossipReceived(entries []byte) {
	for ; len(entries) >= gossipEntrySize; entries = entries[gossipEntrySize:] {
		workerID := WorkerID(binary.BigEndian.Uint64(entries))
		functionID := FunctionID(binary.BigEndian.Uint64(entries[gossipEntrySize/2:]))
		w := p.workers[workerID]
		if w == nil || w.endpoint.State != Ready {
			continue
		}
		i := w.instance(functionID)
		i.warmUntil = max(i.warmUntil, p.now+gossipValidity(p.cfg.InstanceKeepAlive))
	}
}

// gossipValidity is how long an announced instance is believed to be loaded.
func gossipValidity(keepAlive time.Duration) time.Duration {
	return keepAlive * gossipValidityPercent / 100
}
