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
	// Two channels, so that SIGHUPs in a row can't crowd out a SIGTERM.
	signals chan os.Signal
	// hangups holds one SIGHUP: the first that comes while the file is being read makes it be read once more, further
	// ones add nothing.
	hangups chan os.Signal
	closed  chan struct{}
}

// watchSignals begins to receive signals. It keeps them until forward is called.
func watchSignals() *signalWatcher {
	w := &signalWatcher{
		signals: make(chan os.Signal, 4),
		hangups: make(chan os.Signal, 1),
		closed:  make(chan struct{}),
	}
	signal.Notify(w.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	signal.Notify(w.hangups, syscall.SIGHUP)
	return w
}

// close stops receiving signals and ends the goroutines. It does not wait for them: a file that takes long to read
// must not hold up the end of the program, and what they post to a loop that has stopped is not run.
func (w *signalWatcher) close() {
	signal.Stop(w.signals)
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
		case sig := <-w.signals:
			s.loop.Post(func() { s.handleSignal(sig) })
		case <-w.closed:
			return
		}
	}
}

// handleSignal logs the counters, and begins to shut down on any signal but SIGUSR1.
func (s *server) handleSignal(sig os.Signal) {
	s.logCounters()
	if sig == syscall.SIGUSR1 || s.shutdown.begun() {
		return
	}
	s.beginShutdown(s.loop.Now())
	slog.Info("shutdown started", "signal", sig.String())
}
