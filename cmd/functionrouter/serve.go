package main

import (
	"log/slog"
	"runtime"
	"runtime/debug"
	"time"

	"functionrouter/internal/backend"
)

// maxProcs is GOMAXPROCS. The process has one core; the second thread lets the other goroutines run while the event loop
// sleeps in the kernel, and the reverse. The garbage collector marks on each thread that is idle, and these threads share
// the core with the event loop, so that more of them make its turns longer.
const maxProcs = 2

// Intervals of the periodic tasks. The interval of the pool is backend.SweepInterval.
const (
	extensionSweepInterval = time.Second
	countersLogInterval    = 5 * time.Second
)

// serve runs the function router on the calling goroutine until a signal ends it. On each SIGHUP it calls loadConfig
// on another goroutine and applies the result. It returns an error only if the start fails. It sets limits of the Go
// runtime that stay in effect after it returns.
func serve(cfg *config, loadConfig func() (*config, error)) error {
	signals := watchSignals() // first, so that a signal during the start is handled once the loop runs
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
	signals.forward(s, loadConfig)             // posts to the loop, which must have been started
	s.taskTimes.lastCountersLog = s.loop.Now() // otherwise the first turn would log counters that are all 0
	s.loop.Run(s.beginTurn, s.endTurn)
	s.extensions.close()
	s.logCounters()
	slog.Info("stopped")
	return nil
}

// periodicTaskTimes holds when each periodic task last ran, on the loop's clock. The value 0 makes a task due in the
// first turn.
type periodicTaskTimes struct {
	lastPoolSweep      time.Duration
	lastExtensionSweep time.Duration
	lastCountersLog    time.Duration
}

// beginTurn sets the time of the router and of the pool at the start of a turn of the event loop. The handlers of the
// turn's events use this time.
func (s *server) beginTurn(now time.Duration) {
	s.router.SetNow(now)
	s.pool.SetNow(now)
}

// endTurn does the work that is due after the events of a turn have been handled. It returns the latest time for the
// next turn. The extensions run after the router, so that they send notices and flow records of the requests that it
// has just ended. The shutdown runs last, so that it sees the remaining work.
func (s *server) endTurn(now time.Duration) (next time.Duration) {
	next = s.router.Process(now)
	next = min(next, s.pool.CheckDeliveries(now))
	next = min(next, s.discovery.Poll(now))
	next = min(next, s.extensions.process(now))
	s.runPeriodicTasks(now)
	if s.shutdown.begun() {
		s.advanceShutdown(now)
		next = min(next, now+shutdownCheckInterval)
	}
	return next
}

// runPeriodicTasks runs the periodic tasks that are due at now.
func (s *server) runPeriodicTasks(now time.Duration) {
	times := &s.taskTimes
	if now-times.lastPoolSweep >= backend.SweepInterval {
		times.lastPoolSweep = now
		s.pool.Sweep(now)
	}
	if now-times.lastExtensionSweep >= extensionSweepInterval {
		times.lastExtensionSweep = now
		s.extensions.sweep(now)
	}
	if now-times.lastCountersLog >= countersLogInterval {
		times.lastCountersLog = now
		s.logCounters()
	}
}
