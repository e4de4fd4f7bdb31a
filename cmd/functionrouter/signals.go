package main

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// signalWatcher receives the process's signals and passes them on to the event loop. It owns two goroutines, which end
// after close.
type signalWatcher struct {
	// A channel for each purpose, so that SIGHUPs or SIGUSR1s in a row can't crowd out a SIGTERM. A signal that comes while
	// its channel is full adds nothing to the one that is in it.
	terminations chan os.Signal // SIGTERM and SIGINT
	reports      chan os.Signal // SIGUSR1
	// hangups holds one SIGHUP: the first that comes while the file is being read makes it be read once more, further
	// ones add nothing.
	hangups chan os.Signal
	closed  chan struct{}
}

// watchSignals begins to receive signals. It keeps them until forward is called.
func watchSignals() *signalWatcher {
	w := &signalWatcher{
		terminations: make(chan os.Signal, 1),
		reports:      make(chan os.Signal, 1),
		hangups:      make(chan os.Signal, 1),
		closed:       make(chan struct{}),
	}
	signal.Notify(w.terminations, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(w.reports, syscall.SIGUSR1)
	signal.Notify(w.hangups, syscall.SIGHUP)
	return w
}

// close stops receiving signals and ends the goroutines. It does not wait for them: a file that takes long to read
// must not hold up the end of the program, and what they post to a loop that has stopped is not run.
func (w *signalWatcher) close() {
	signal.Stop(w.terminations)
	signal.Stop(w.reports)
	signal.Stop(w.hangups)
	close(w.closed)
}

// forward starts the goroutines that pass signals on to s.
func (w *signalWatcher) forward(s *server, reread func() (*config, error)) {
	go w.forwardHangups(s, reread)
	go w.forwardSignals(s)
}

// forwardHangups reads the configuration on each SIGHUP. It does so on its own goroutine, so that requests are
// served meanwhile.
func (w *signalWatcher) forwardHangups(s *server, reread func() (*config, error)) {
	for {
		select {
		case <-w.hangups:
			fresh, err := reread()
			s.loop.Post(func() { s.reload(fresh, err) })
		case <-w.closed:
			return
		}
	}
}

func (w *signalWatcher) forwardSignals(s *server) {
	for {
		select {
		case sig := <-w.terminations:
			s.loop.Post(func() { s.handleTermination(sig) })
		case <-w.reports:
			s.loop.Post(s.logCounters)
		case <-w.closed:
			return
		}
	}
}

// handleTermination logs the counters, and begins to shut down unless that has begun.
func (s *server) handleTermination(sig os.Signal) {
	s.logCounters()
	if s.shutdown.begun() {
		return
	}
	s.beginShutdown(s.loop.Now())
	slog.Info("shutdown started", "signal", sig.String())
}
