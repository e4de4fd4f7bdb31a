package main

import (
	"log/slog"
	"runtime"
	"runtime/debug"
	"time"

	"functionrouter/internal/backend"
	"functionrouter/internal/discovery"
	"functionrouter/internal/eventloop"
	"functionrouter/internal/frontend/thrift"
	"functionrouter/internal/router"
	"functionrouter/policy"
)

const (
	// maxProcs is GOMAXPROCS. There is one core; the further threads let the event loop run while a poller sleeps in
	// the kernel.
	maxProcs = 4

	// The intervals of the housekeeping that is not the pool's own.
	extensionSweepInterval = time.Second
	countersLogInterval    = 5 * time.Second
)

// server is the function router with all its parts, joined on one event loop. Once the loop runs, all of it belongs to
// the loop's goroutine; others reach it through loop.Post.
type server struct {
	cfg        *config
	loop       *eventloop.Loop
	router     *router.Router
	pool       *backend.Pool
	discovery  *discovery.Client
	extensions *extensions

	startTimes   startTimes
	endpointLog  endpointLog
	housekeeping housekeeping
	shutdown     shutdown
}

// housekeeping is when each periodic task last ran, on the loop's clock.
type housekeeping struct {
	lastPoolSweep      time.Duration
	lastExtensionSweep time.Duration
	lastCountersLog    time.Duration
}

// serve runs the function router until a signal ends it. On SIGHUP it applies what reread returns. Its errors are those
// of the start.
func serve(cfg *config, reread func() (*config, error)) error {
	signals := watchSignals()
	defer signals.close()
	runtime.GOMAXPROCS(maxProcs)
	debug.SetMemoryLimit(cfg.goMemoryLimit())
	s, err := newServer(cfg)
	if err != nil {
		return err
	}
	if err := s.loop.Start(); err != nil {
		return err
	}
	slog.Info("started", "name", cfg.Name, "listen", cfg.Listen)
	signals.forward(s, reread)
	s.housekeeping.lastCountersLog = s.loop.Now()
	s.loop.Run(s.beginTurn, s.endTurn)
	s.extensions.close()
	s.logCounters()
	slog.Info("stopped")
	return nil
}

// newServer builds the parts and joins them; nothing listens yet.
func newServer(cfg *config) (*server, error) {
	decisions, err := policy.New(cfg.policy, cfg.seed)
	if err != nil {
		return nil, err
	}
	s := &server{cfg: cfg, shutdown: shutdown{flushTimeout: cfg.flushTimeout()}}
	s.loop = eventloop.New(cfg.loopConfig())
	s.router = router.New(router.Config{
		Policy: decisions,
		Limits: cfg.routerLimits(),
		NewWorkerPool: func(r *router.Router) router.WorkerPool {
			s.pool = backend.New(s.poolConfig(), r)
			return s.pool
		},
		OnRequestEnd: func(now time.Duration, req *router.Request, outcome router.RequestOutcome) {
			s.extensions.requestEnded(now, req, outcome)
		},
	})
	s.discovery = discovery.New(cfg.DirectoryAddress, s.dialDirectory, s.updateEndpoints)
	if err := s.discovery.LoadInitial(cfg.InitialEndpoints); err != nil {
		return nil, err
	}
	if s.extensions, err = newExtensions(cfg, s.loop, s.router); err != nil {
		return nil, err
	}
	frontend := thrift.New(s.router, cfg.transport.classNames(), cfg.transport.tenantNames(), s.loop.Now, s.loop.InputTime,
		s.ready)
	s.loop.Listen(cfg.Listen, frontend.Accept)
	return s, nil
}

// loopConfig is the configuration of the event loop.
func (c *config) loopConfig() eventloop.Config {
	return eventloop.Config{
		MaxAcceptedConnections: c.maxClientConnections(),
		MaxUnreadBytes:         c.scaleToMemory(maxUnreadBytes),
	}
}

// routerLimits is the configuration of the router.
func (c *config) routerLimits() router.Limits {
	return router.Limits{
		MaxOpenRequests:    c.maxOpenRequests(),
		MaxBodyBytes:       c.scaleToMemory(maxBodyBytes),
		RetryAfter:         c.rejectionRetryAfter(),
		MaxAttempts:        c.policy.MaxAttempts,
		LoadCommandTimeout: c.policy.LoadCommandTimeout,
		HealthCheckTimeout: healthCheckTimeout,
	}
}

// poolConfig is the configuration of the connections to workers.
func (s *server) poolConfig() backend.Config {
	limits := s.cfg.transport.Limits
	return backend.Config{
		Classes:                 s.cfg.transport.classNames(),
		LoadReportFields:        s.cfg.policy.LoadReportFields,
		DialTimeout:             milliseconds(limits.DialTimeoutMs),
		IdleTimeout:             milliseconds(limits.KeepaliveMs),
		MaxStreamsPerConnection: limits.StreamsPerConnection,
		MaxConnections:          s.cfg.maxWorkerConnections(),
		AllowCancel:             s.cfg.policy.AllowCancel,
		Dial: func(addr string, timeout time.Duration, h eventloop.DialHandler) backend.Transport {
			return s.loop.Dial(addr, timeout, h)
		},
	}
}

// dialDirectory opens a socket to the directory.
func (s *server) dialDirectory(addr string, h eventloop.DialHandler) discovery.Transport {
	return s.loop.DialUDP(addr, h)
}

// ready reports whether clients should send requests here: there is a worker to forward them to, and no shutdown
// has begun.
func (s *server) ready() bool { return s.discovery.EndpointCount() > 0 && !s.shutdown.begun() }

// beginTurn tells the parts the time of a turn of the event loop, before the turn's events are handled.
func (s *server) beginTurn(now time.Duration) {
	s.router.SetNow(now)
	s.pool.SetNow(now)
}

// endTurn does what is due once a turn's events have been handled. It returns when the next turn must be at the
// latest.
func (s *server) endTurn(now time.Duration) (next time.Duration) {
	next = min(s.router.Process(now), s.discovery.Poll(now), s.extensions.process(now))
	s.runPeriodicTasks(now)
	if s.shutdown.begun() {
		s.advanceShutdown(now)
		next = min(next, now+shutdownCheckInterval)
	}
	return next
}

// runPeriodicTasks runs the periodic tasks that are due.
func (s *server) runPeriodicTasks(now time.Duration) {
	h := &s.housekeeping
	if now-h.lastPoolSweep >= backend.SweepInterval {
		h.lastPoolSweep = now
		s.pool.Sweep(now)
	}
	if now-h.lastExtensionSweep >= extensionSweepInterval {
		h.lastExtensionSweep = now
		s.extensions.sweep(now)
	}
	if now-h.lastCountersLog >= countersLogInterval {
		h.lastCountersLog = now
		s.logCounters()
	}
}
