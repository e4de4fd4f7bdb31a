// Package backend is the client side of the router towards its workers. A Pool keeps RESP connections to
// each worker and multiplexes attempts, load commands and health checks over them; what becomes of each is reported once
// to a ResultHandler.
//
// The commands and answers are RESP arrays of bulk strings, as Redis defines them
// (https://redis.io/docs/latest/develop/reference/protocol-spec/).
//
// Nothing here is safe for concurrent use: all methods of a Pool and all events of its connections run on the
// event loop's goroutine. The package has no clock of its own; see Pool.SetNow.
package backend

import (
	"slices"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/router"
	"functionrouter/policy"
)

// SweepInterval is how often Pool.Sweep should be called.
const SweepInterval = 50 * time.Millisecond

// idleCloseFraction is the part of the workers' idle timeout after which the pool closes an idle connection.
const idleCloseFraction = 0.8

// ResultHandler receives the result of each attempt, load command and health check; a router.Router is one. The body
// is the handler's to keep. A nil report means that the worker sent no complete load report.
type ResultHandler interface {
	AttemptEnded(a router.AttemptID, outcome policy.Outcome, status policy.InstanceStatus, body []byte, report []float64)
	LoadCommandEnded(control router.ControlID, outcome policy.Outcome, count int)
	HealthCheckEnded(control router.ControlID, outcome policy.Outcome, report []float64)
}

// Transport is a byte stream to a worker; an eventloop.Conn is one.
type Transport interface {
	// Write queues buffers, which the caller must not change afterwards.
	Write(bufs ...[]byte)
	Close()
}

// Config holds the deployment's settings for the pool.
type Config struct {
	Classes                 []string      // names of the request classes, by class number
	LoadReportFields        []string      // names of the fields of a load report, in the order of its values
	DialTimeout             time.Duration // limit on one dial
	IdleTimeout             time.Duration // workers close a connection that has been idle for so long
	MaxStreamsPerConnection int           // attempts in flight on one connection
	MaxConnections          int           // connections to all workers together
	AllowCancel             bool          // workers may be told that an attempt is cancelled
	// Dial opens a connection to addr ("host:port"). It may call h before it returns.
	Dial func(addr string, timeout time.Duration, h eventloop.DialHandler) Transport
}

// Pool holds the connections to all workers.
type Pool struct {
	cfg        Config
	results    ResultHandler
	now        time.Duration
	workers    map[policy.WorkerID]*worker
	attempts   map[router.AttemptID]*pendingCall // attempts that have not ended
	keepAlives uint64                            // keep-alive checks sent so far; numbers their tokens
	losses     lossLog
}

// New returns a Pool without endpoints that reports to results.
func New(cfg Config, results ResultHandler) *Pool {
	return &Pool{
		cfg:      cfg,
		results:  results,
		workers:  map[policy.WorkerID]*worker{},
		attempts: map[router.AttemptID]*pendingCall{},
		losses:   newLossLog(),
	}
}

// SetNow advances the clock, a reading of the event loop's. An earlier time than the present one is ignored.
func (p *Pool) SetNow(now time.Duration) { p.now = max(p.now, now) }

// UpdateEndpoint sets a worker's address ("" leaves it), its state, and when its process started (0: unknown).
// Connections to an earlier address or process are drained. Unless the worker is ready, the calls
// that wait for a dial to it end unsent: the dial may come up after the time in which sends to a draining worker
// are allowed.
func (p *Pool) UpdateEndpoint(id policy.WorkerID, addr string, state policy.WorkerState, started time.Duration) {
	w := p.workers[id]
	if w == nil {
		if state == policy.Gone {
			return
		}
		w = &worker{id: id}
		p.workers[id] = w
	}
	w.retireOutdated(addr, started)
	if addr != "" {
		w.address = addr
	}
	w.state = state
	if state != policy.Ready {
		for _, c := range slices.Clone(w.connections) {
			c.failQueued()
		}
	}
	if state == policy.Gone {
		p.CloseIdleConnections(id)
	}
}

// RetainEndpoints marks every worker that is not present as gone.
func (p *Pool) RetainEndpoints(present map[policy.WorkerID]bool) {
	for id := range p.workers {
		if !present[id] {
			p.UpdateEndpoint(id, "", policy.Gone, 0)
		}
	}
}

// CloseIdleConnections closes the connections to a worker that have no pending calls.
func (p *Pool) CloseIdleConnections(id policy.WorkerID) {
	w := p.workers[id]
	if w == nil {
		return
	}
	for _, c := range w.connections {
		if c.state != connecting && c.idle() {
			c.close()
		}
	}
}

// Sweep does the periodic work at now: it closes idle connections, checks that the others still work, and
// forgets workers that are gone. Call it every SweepInterval.
func (p *Pool) Sweep(now time.Duration) {
	p.SetNow(now)
	for id, w := range p.workers {
		for _, c := range slices.Clone(w.connections) {
			p.sweepConnection(c)
		}
		if w.state == policy.Gone && len(w.connections) == 0 {
			delete(p.workers, id)
		}
	}
}

func (p *Pool) sweepConnection(c *connection) {
	c.recentIDs.rotate(p.now)
	if c.state == connecting {
		return
	}
	if c.state == ready && c.recentIDs.full() {
		c.retire() // a new one carries more attempts; this one would carry none for seconds
		return
	}
	if !c.takesCalls() { // it closes with its last call
		if c.idle() {
			c.close()
		}
		return
	}
	if c.idle() && p.now-c.lastUsedAt > p.idleCloseAfter() {
		c.close()
		return
	}
	c.checkKeepAlive()
}

// idleCloseAfter is how long a connection may be idle. It is less than the workers' own limit: a call that
// crosses a worker's close would count as one that may have run.
func (p *Pool) idleCloseAfter() time.Duration {
	return time.Duration(idleCloseFraction * float64(p.cfg.IdleTimeout))
}
