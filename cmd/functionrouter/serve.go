package main

import (
	"log/slog"
	"runtime"
	"runtime/debug"
	"time"

	"functionrouter/internal/backend"
)

// maxProcs is GOMAXPROCS. The process has one core; further threads let the event loop run while a poller sleeps in the
// kernel.
const maxProcs = 4

// The intervals of the periodic tasks, those of the pool aside.
const (
	extensionSweepInterval = time.Second
	countersLogInterval    = 5 * time.Second
)

// serve runs the function router until a signal ends it. On SIGHUP it applies what reread returns. It returns an error
// only if the start fails.
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

// housekeeping is when each periodic task last ran, on the loop's clock.
type housekeeping struct {
	lastPoolSweep      time.Duration
	lastExtensionSweep time.Duration
	lastCountersLog    time.Duration
}

// beginTurn sets the time of a turn of the event loop, before the turn's events are handled.
func (s *server) beginTurn(now time.Duration) {
	s.router.SetNow(now)
	s.pool.SetNow(now)
}

// endTurn does what is due after a turn's events have been handled. It returns the latest time for the next turn.
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
