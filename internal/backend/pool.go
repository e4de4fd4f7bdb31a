package backend

import (
	"slices"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/router"
	"functionrouter/policy"
)

// ResultHandler receives the result of each attempt, load command and health check. router.Router implements it. Its
// methods are called on the event loop's goroutine, either by an event of a connection or during a call of
// StartAttempt, LoadInstance, CheckHealth, UpdateEndpoint or RetainEndpoints. A load report holds the values of
// Config.LoadReportFields in their order; it is nil if the worker sent no complete load report. The handler owns the
// body and the load report.
//
// AttemptEnded may call methods of the Pool if the outcome is policy.Served. With any other outcome, and from the other
// two methods, it must not: the Pool may be in a loop that ends several calls, and a call that the handler cancels
// during the loop would still be reported or sent.
type ResultHandler interface {
	// AttemptEnded reports how an attempt ended. The Pool removes the attempt before it calls AttemptEnded.
	AttemptEnded(attemptID router.AttemptID, result router.AttemptResult)
	// LoadCommandEnded reports how a load command ended. instances is the number of loaded instances that the worker
	// reported, or 0 if it reported none. The Pool does not check the number.
	LoadCommandEnded(controlID router.ControlID, outcome policy.Outcome, instances int)
	// HealthCheckEnded reports how a health check ended.
	HealthCheckEnded(controlID router.ControlID, outcome policy.Outcome, loadReport []float64)
}

// Transport is a byte stream to a worker. eventloop.Conn implements it.
type Transport interface {
	// Write queues buffers, which the caller must not modify afterwards. After Close, Write discards them.
	Write(bufs ...[]byte)
	// Close closes the stream and discards the queued bytes. If the stream was open, the handler's OnClose is called in
	// a later turn of the event loop, never before Close returns. If the dial has not ended, Close cancels it, and the
	// handler gets no further events. A second Close does nothing. The worker gets no byte afterwards that it had not got.
	Close()
	// Unsent returns how many of the written bytes wait because the worker does not take them.
	Unsent() int
	// Undelivered returns how many of the written bytes the worker's machine has not acknowledged.
	Undelivered() int
}

// Config holds the settings of a Pool.
type Config struct {
	Classes          []string      // names of the request classes; indexed by router.Request.Class
	LoadReportFields []string      // names of a load report's fields, in the order of its values
	DialTimeout      time.Duration // limit on one dial
	IdleTimeout      time.Duration // idle time after which workers close a connection
	// RecentIDLifetime is how long a connection does not carry an attempt with the wire ID of an earlier one again. It
	// must be at least the longest time between the first and the last attempt of a request.
	RecentIDLifetime        time.Duration
	MaxStreamsPerConnection int  // limit on the concurrent attempts on one connection
	MaxConnections          int  // limit on the connections to all workers together
	AllowCancel             bool // whether CancelAttempt sends a cancel command to the worker

	// ReadClock reads the event loop's clock. An attempt carries the budget that is left when it is written, because the
	// turn may have lasted, or the machine may have paused the process in it.
	ReadClock func() time.Duration

	// Dial opens a connection to addr, a "host:port", and returns its Transport, which must not be nil. h receives the
	// connection's events. OnOpen, with the result of the dial, must be called in a later turn of the event loop: if a
	// failure were reported before Dial returns, the call that caused the dial would neither be sent nor end.
	Dial func(addr string, timeout time.Duration, h eventloop.DialHandler) Transport
}

// Pool holds the connections to all workers and the calls that are pending on them.
type Pool struct {
	cfg             Config
	results         ResultHandler
	now             time.Duration // last reading of the event loop's clock, see SetNow
	workers         map[policy.WorkerID]*worker
	attempts        map[router.AttemptID]*pendingCall // attempts that have neither ended nor been cancelled
	unsent          []*pendingCall                    // attempts in the order of StartAttempt; see SendableAttempts
	withdrawn       []*connection                     // connections with withdrawn attempts; see CheckDeliveries
	keepAlivesSent  uint64                            // also the number in the wire ID of the latest keep-alive check
	lostConnections lostConnectionLog
}

// New returns a Pool without workers that reports the results of calls to results.
func New(cfg Config, results ResultHandler) *Pool {
	return &Pool{
		cfg:             cfg,
		results:         results,
		workers:         map[policy.WorkerID]*worker{},
		attempts:        map[router.AttemptID]*pendingCall{},
		lostConnections: newLostConnectionLog(),
	}
}

// SetNow advances the pool's time to now, a reading of the event loop's clock. Call it at the beginning of each turn of
// the loop. SetNow ignores a time before the present one.
func (p *Pool) SetNow(now time.Duration) { p.now = max(p.now, now) }

// UpdateEndpoint sets a worker's address, a "host:port" (empty if unchanged), and its state. It adds an unknown worker
// unless the state is Gone. startedAt is when the worker's process started (0 if unknown). Connections that may lead to
// an earlier address or process are drained. Dials to them are cancelled, and the queued calls end as Unreachable.
//
// If the state is not Ready, queued attempts end as Unreachable and queued load commands as WorkerOverloaded, because
// the dial may succeed after the period in which calls may be sent to a draining worker. If the state is Gone, idle
// connections are closed.
func (p *Pool) UpdateEndpoint(workerID policy.WorkerID, addr string, state policy.WorkerState, startedAt time.Duration) {
	w := p.workers[workerID]
	if w == nil {
		if state == policy.Gone {
			return
		}
		w = &worker{id: workerID}
		p.workers[workerID] = w
	}
	w.retireOutdated(addr, startedAt) // before w.address changes, because it compares addr with w.address
	if addr != "" {
		w.address = addr
	}
	w.startedAt = max(w.startedAt, startedAt)
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

// RetainEndpoints sets the state of every worker that is not in present to Gone, with the effects that UpdateEndpoint
// describes. The order in which it reports the results of several workers is not defined.
func (p *Pool) RetainEndpoints(present map[policy.WorkerID]bool) {
	for id := range p.workers {
		if !present[id] {
			p.UpdateEndpoint(id, "", policy.Gone, 0)
		}
	}
}

// CloseIdleConnections closes the connections to a worker that have no pending calls. Dials continue.
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
