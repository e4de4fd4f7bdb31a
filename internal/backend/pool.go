package backend

import (
	"slices"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/router"
	"functionrouter/policy"
)

// ResultHandler receives the result of each attempt, load command and health check; a router.Router is one. The methods
// are called on the event loop's goroutine: by an event of a connection, or before StartAttempt, LoadInstance, CheckHealth,
// UpdateEndpoint or RetainEndpoints returns. A load report holds the values of Config.LoadReportFields in their order; it
// is nil if the worker sent no complete one. The handler owns the body and the load report.
//
// AttemptEnded may call the Pool if the outcome is policy.Served. During any other report the Pool must not be called: it
// may be ending several calls one after another, and one that is cancelled meanwhile would be reported or sent all the
// same.
type ResultHandler interface {
	// AttemptEnded reports how an attempt ended. The Pool has forgotten the attempt by then.
	AttemptEnded(attempt router.AttemptID, result router.AttemptResult)
	// LoadCommandEnded reports how a load command ended; instances is the number of loaded instances that the worker
	// gave, 0 if it gave none. The pool doesn't check the number.
	LoadCommandEnded(control router.ControlID, outcome policy.Outcome, instances int)
	// HealthCheckEnded reports how a health check ended.
	HealthCheckEnded(control router.ControlID, outcome policy.Outcome, loadReport []float64)
}

// Transport is a byte stream to a worker; an eventloop.Conn is one.
type Transport interface {
	// Write queues buffers, which the caller must not change afterwards. After Close it drops them.
	Write(bufs ...[]byte)
	// Close closes the stream and drops what is still queued. OnClose of the handler follows in a later turn of the event
	// loop, never before Close returns, if the stream was open; a dial that has not ended is cancelled, and its handler
	// gets no further call. A second Close does nothing.
	Close()
}

// Config holds the deployment's settings for the pool.
type Config struct {
	Classes                 []string      // names of the request classes; router.Request.Class is the index
	LoadReportFields        []string      // names of the fields of a load report, in the order of its values
	DialTimeout             time.Duration // limit on one dial
	IdleTimeout             time.Duration // workers close a connection that has been idle for so long
	MaxStreamsPerConnection int           // limit on the attempts that one connection carries at a time
	MaxConnections          int           // limit on the connections to all workers together
	AllowCancel             bool          // a cancelled attempt is also cancelled at its worker

	// Dial opens a connection to addr, a "host:port", and returns its Transport, never nil. h gets the connection's events.
	// OnOpen, with the result of the dial, must come in a later turn of the event loop: if a failure were reported before
	// Dial returns, the call that the dial is for would never be sent and never end.
	Dial func(addr string, timeout time.Duration, h eventloop.DialHandler) Transport
}

// Pool holds the connections to all workers and the calls that are pending on them.
type Pool struct {
	cfg             Config
	results         ResultHandler
	now             time.Duration // the event loop's clock, see SetNow
	workers         map[policy.WorkerID]*worker
	attempts        map[router.AttemptID]*pendingCall // attempts that have neither ended nor been cancelled
	keepAlivesSent  uint64                            // also the number in the wire id of the latest keep-alive check
	lostConnections lostConnectionLog
}

// New returns a Pool without workers that reports to results.
func New(cfg Config, results ResultHandler) *Pool {
	return &Pool{
		cfg:             cfg,
		results:         results,
		workers:         map[policy.WorkerID]*worker{},
		attempts:        map[router.AttemptID]*pendingCall{},
		lostConnections: newLostConnectionLog(),
	}
}

// SetNow advances the pool's clock to now, a reading of the event loop's clock. Call it at the beginning of each turn of
// the loop. A time before the present one is ignored.
func (p *Pool) SetNow(now time.Duration) { p.now = max(p.now, now) }

// UpdateEndpoint sets a worker's address, a "host:port" ("": unchanged), and its state. A worker that is not known is
// added, unless it is gone. startedAt is when its process started (0: unknown). Connections to an earlier address or
// process are drained; their dials are cancelled, and the calls that wait for these end as Unreachable.
//
// Unless the worker is ready, the attempts that wait for a dial to it end as Unreachable and the load commands as
// WorkerOverloaded: the dial may succeed after the time in which sends to a draining worker are allowed. The idle
// connections to a worker that is gone are closed.
func (p *Pool) UpdateEndpoint(workerID policy.WorkerID, addr string, state policy.WorkerState, startedAt time.Duration) {
	w := p.workers[workerID]
	if w == nil {
		if state == policy.Gone {
			return
		}
		w = &worker{id: workerID}
		p.workers[workerID] = w
	}
	w.retireOutdated(addr, startedAt) // before the address changes, with which it compares
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
		p.CloseIdleConnections(workerID)
	}
}

// RetainEndpoints marks every worker that is not present as gone, as UpdateEndpoint does. The results that this leads to
// come in no fixed order of the workers.
func (p *Pool) RetainEndpoints(present map[policy.WorkerID]bool) {
	for id := range p.workers {
		if !present[id] {
			p.UpdateEndpoint(id, "", policy.Gone, 0)
		}
	}
}

// CloseIdleConnections closes the connections to a worker that have no pending calls. Dials go on.
func (p *Pool) CloseIdleConnections(workerID policy.WorkerID) {
	w := p.workers[workerID]
	if w == nil {
		return
	}
	for _, c := range w.connections {
		if c.state != stateConnecting && c.idle() {
			c.close()
		}
	}
}
