package main

import (
	"slices"
	"time"

	"functionrouter/internal/backend"
	"functionrouter/internal/discovery"
	"functionrouter/internal/eventloop"
	"functionrouter/internal/frontend/thrift"
	"functionrouter/internal/router"
	"functionrouter/policy"
)

// server connects all parts of the function router through one event loop. Once the loop runs, all fields belong to the
// loop's goroutine; other goroutines access them through loop.Post.
type server struct {
	cfg        *config
	loop       *eventloop.Loop
	router     *router.Router
	pool       *backend.Pool
	discovery  *discovery.Client
	extensions *extensions

	startTimes  startTimes
	endpointLog endpointLog
	taskTimes   periodicTaskTimes
	shutdown    shutdown
}

// newServer creates and connects the parts. It does not start the loop, so nothing listens yet. The order matters:
// LoadInitial calls updateEndpoints, which needs the router, the pool and s.discovery. If newServer fails, the program
// must end, because an open ledger is not closed.
func newServer(cfg *config) (*server, error) {
	policyConfig := cfg.policy
	policyConfig.MaxFunctionEntries = cfg.maxFunctionEntries()
	routingPolicy, err := policy.New(policyConfig, cfg.seed)
	if err != nil {
		return nil, err
	}
	s := &server{cfg: cfg, shutdown: shutdown{flushTimeout: cfg.flushTimeout()}}
	loopConfig := cfg.loopConfig()
	loopConfig.AfterInput = func(now time.Duration) { s.router.Advance(now) }
	s.loop = eventloop.New(loopConfig)
	s.router = router.New(router.Config{
		Policy: routingPolicy,
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
	frontend := thrift.New(thrift.Config{
		Router:    s.router,
		Classes:   cfg.transport.classNames(),
		Tenants:   cfg.transport.tenantNames(),
		Clock:     s.loop.Now,
		InputTime: s.loop.InputTime,
		Ready:     s.ready,
	})
	s.loop.Listen(cfg.Listen, frontend.Accept)
	return s, nil
}

// loopConfig returns the limits of the event loop.
func (c *config) loopConfig() eventloop.Config {
	return eventloop.Config{
		MaxAcceptedConnections: c.maxClientConnections(),
		MaxUnreadBytes:         c.scaleToMemory(maxUnreadBytes),
	}
}

// routerLimits returns the limits of the request table.
func (c *config) routerLimits() router.Limits {
	return router.Limits{
		MaxOpenRequests:    c.maxOpenRequests(),
		MaxBodyBytes:       c.scaleToMemory(maxBodyBytes),
		MaxWaits:           c.maxWaits(),
		RetryAfter:         c.refusalRetryAfter(),
		MaxAttempts:        c.policy.MaxAttempts,
		LoadCommandTimeout: c.policy.LoadCommandTimeout,
		HealthCheckTimeout: healthCheckTimeout,
		RunsAreFinal:       c.runsAreFinal(),
		RunLifetime:        c.runLifetime(),
		MaxRuns:            c.Limits.MemoryMB * runsPerMB,
	}
}

// poolConfig returns the configuration of the connections to workers. Its Dial function uses s.loop, which must be set.
func (s *server) poolConfig() backend.Config {
	limits := s.cfg.transport.Limits
	return backend.Config{
		Classes:                 s.cfg.transport.classNames(),
		LoadReportFields:        s.cfg.policy.LoadReportFields,
		DialTimeout:             milliseconds(limits.DialTimeoutMs),
		IdleTimeout:             milliseconds(limits.IdleTimeoutMs),
		RecentIDLifetime:        slices.Max(s.cfg.maxWaits()),
		MaxStreamsPerConnection: limits.StreamsPerConnection,
		MaxConnections:          s.cfg.maxWorkerConnections(),
		AllowCancel:             s.cfg.policy.AllowCancel,
		ReadClock:               s.loop.ReadClock,
		Dial: func(addr string, timeout time.Duration, h eventloop.DialHandler) backend.Transport {
			return s.loop.Dial(addr, timeout, h)
		},
	}
}

// dialDirectory opens a UDP socket to the directory.
func (s *server) dialDirectory(addr string, h eventloop.DialHandler) discovery.Transport {
	return s.loop.DialUDP(addr, h)
}

// ready reports whether clients should send requests to this router: the router knows a worker, and no shutdown has
// begun.
func (s *server) ready() bool { return s.discovery.EndpointCount() > 0 && !s.shutdown.begun() }
