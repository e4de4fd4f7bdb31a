package backend

import (
	"slices"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/router"
	"functionrouter/policy"
)

// ResultHandler receives the result of each attempt, load command and health check; a router.Router is one. The methods
// are called on the event loop's goroutine, also during the method of the Pool that starts the call, and may call the Pool
// themselves. A load report holds the values of Config.LoadReportFields in their order; it is nil if the worker sent no
// complete one. The handler owns the body and the load report.
type ResultHandler interface {
	// AttemptEnded reports how an attempt ended.
	AttemptEnded(attempt router.AttemptID, result router.AttemptResult)
	// LoadCommandEnded reports how a load command ended; instances is the number of loaded instances that the worker
	// gave, 0 if it gave none.
	LoadCommandEnded(control router.ControlID, outcome policy.Outcome, instances int)
	// HealthCheckEnded reports how a health check ended.
	HealthCheckEnded(control router.ControlID, outcome policy.Outcome, loadReport []float64)
}

// Transport is a byte stream to a worker; an eventloop.Conn is one.
type Transport interface {
	// Write queues buffers, which the caller must not change afterwards.
	Write(bufs ...[]byte)
	// Close closes the stream and drops what is still queued. OnClose of the handler follows in a later turn if the
	// stream was open; a dial that has not ended is cancelled, and its handler gets no further call.
	Close()
}

// Config holds the deployment's settings for the pool.
type Config struct {
	Classes                 []string      // names of the request classes, by class number
	LoadReportFields        []string      // names of the fields of a load report, in the order of its values
	DialTimeout             time.Duration // limit on one dial
	IdleTimeout             time.Duration // workers close a connection that has been idle for so long
	MaxStreamsPerConnection int           // limit on the attempts in flight on one connection
	MaxConnections          int           // limit on the connections to all workers together
	AllowCancel             bool          // a cancelled attempt is also cancelled at its worker

	// Dial opens a connection to addr ("host:port") and reports the result to h.OnOpen, which belongs in a later turn
	// of the event loop: after a failure that is reported before Dial returns, the call that the dial is for is never
	// sent and never ends.
	Dial func(addr string, timeout time.Duration, h eventloop.DialHandler) Transport
}

// Pool holds the connections to all workers and the calls that are pending on them.
type Pool struct {
	cfg             Config
	results         ResultHandler
	now             time.Duration // the event loop's clock, see SetNow
	workers         map[policy.WorkerID]*worker
	attempts        map[router.AttemptID]*pendingCall // attempts that have not ended
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

// SetNow advances the clock to now, a reading of the event loop's. Call it at the beginning of each turn of the loop. An
// earlier time than the present one is ignored.
func (p *Pool) SetNow(now time.Duration) { p.now = max(p.now, now) }

// UpdateEndpoint sets a worker's address ("" leaves it), its state, and when its process started (0: unknown).
// Connections to an earlier address or process are drained. Unless the worker is ready, the attempts and load commands
// that wait for a dial to it end unsent: the dial may succeed after the time in which sends to a draining worker
// are allowed. The idle connections to a worker that is gone are closed.
func (p *Pool) UpdateEndpoint(workerID policy.WorkerID, addr string, state policy.WorkerState, started time.Duration) {
	w := p.workers[workerID]
	if w == nil {
		if state == policy.Gone {
			return
		}
		w = &worker{id: workerID}
		p.workers[workerID] = w
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
		p.CloseIdleConnections(workerID)
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
func (p *Pool) CloseIdleConnections(workerID policy.WorkerID) {
	w := p.workers[workerID]
	if w == nil {
		return
	}
	for _, c := range w.connections {
		if c.state != connecting && c.idle() {
			c.close()
		}
	}
}
