package policy

import (
	"encoding/binary"
	"slices"
	"time"
)

const (
	// gossipEntrySize is the size of a gossip entry in bytes: the big-endian ids of a worker and of a
	// function that the worker has loaded. All routers use this format.
	gossipEntrySize = 16

	// gossipMaxEntries is the largest number of entries in a message; the latest entries are kept.
	gossipMaxEntries = 16

	// gossipBudgetPerRequest is the number of message receivers that one request adds to the budget,
	// whatever the number of routers. It bounds the cost of gossip per request; with many routers, messages
	// are sent less often.
	gossipBudgetPerRequest = 2

	// gossipValidityPercent is the percentage of the keep-alive time for which an announced instance is
	// assumed to be loaded. The rest allows for the age of the message.
	gossipValidityPercent = 90

	// A loaded instance is announced again only after the keep-alive time divided by announceDivisor.
	announceDivisor = 4
)

// gossipOutbox collects the entries of the next message to the other routers.
type gossipOutbox struct {
	entries []byte  // encoded entries of loaded instances, oldest first
	budget  float64 // number of receivers that messages may be sent to
}

// addBudget adds the budget of one request. The budget is at most the number of routers, which is enough for
// one message to all other routers.
func (g *gossipOutbox) addBudget(routers int) {
	g.budget = min(g.budget+gossipBudgetPerRequest, float64(routers))
}

// announce adds an entry to the next message: f is loaded at i's worker. It does nothing if the settings do
// not allow gossip, if there is no other router, or if the same entry was added recently.
func (p *Policy) announce(i *instance, f *function) {
	hasPeers := p.cfg.AllowGossip && p.cfg.RouterCount > 1
	if !hasPeers || p.now-i.announcedAt <= p.cfg.InstanceKeepAlive/announceDivisor {
		return
	}
	i.announcedAt = p.now
	p.gossip.entries = binary.BigEndian.AppendUint64(p.gossip.entries, uint64(i.worker.id()))
	p.gossip.entries = binary.BigEndian.AppendUint64(p.gossip.entries, uint64(f.id))
}

// sendGossip sends the collected entries to all other routers once the budget covers the message.
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

// gossipReceived records the functions that another router announces as loaded at workers. The policy assumes
// them loaded for a little less than the keep-alive time. It ignores entries of workers that are not ready
// according to its own endpoint list, and an incomplete last entry.
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

// gossipValidity is the time for which an announced instance is assumed to be loaded.
func gossipValidity(keepAlive time.Duration) time.Duration {
	return keepAlive * gossipValidityPercent / 100
}
