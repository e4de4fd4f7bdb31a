package main

import (
	"os"
	"os/signal"
	"syscall"
)

// signalWatcher receives the process's signals and forwards them to the event loop. forward starts its two goroutines,
// which end after close has been called.
type signalWatcher struct {
	// Each purpose has its own channel, so that repeated SIGHUPs or SIGUSR1s can't displace a SIGTERM. A channel holds
	// one signal. A signal that arrives while its channel is full is dropped, because the signal in the channel has the
	// same effect.
	terminations   chan os.Signal // SIGTERM and SIGINT
	counterReports chan os.Signal // SIGUSR1
	// reloads holds SIGHUP. If a SIGHUP arrives while the file is being read, the file is read again afterwards.
	reloads chan os.Signal
	closed  chan struct{} // closed by close
}

// watchSignals starts to receive signals. Until forward is called, each channel keeps the first signal that it
// receives.
func watchSignals() *signalWatcher {
	w := &signalWatcher{
		terminations:   make(chan os.Signal, 1),
		counterReports: make(chan os.Signal, 1),
		reloads:        make(chan os.Signal, 1),
		closed:         make(chan struct{}),
	}
	signal.Notify(w.terminations, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(w.counterReports, syscall.SIGUSR1)
	signal.Notify(w.reloads, syscall.SIGHUP)
	return w
}

// close stops receiving signals and ends the goroutines. It does not wait for them: a slow read of the file must not
// delay the end of the program, and a loop that has stopped does not run what the goroutines post.
func (w *signalWatcher) close() {
	signal.Stop(w.terminations)
	signal.Stop(w.counterReports)
	signal.Stop(w.reloads)
	close(w.closed)
}

// forward starts the goroutines that forward signals to s. The loop of s must have been started. forward must be called
// only once.
func (w *signalWatcher) forward(s *server, loadConfig func() (*config, error)) {
	go w.forwardReloads(s, loadConfig)
	go w.forwardSignals(s)
}

// forwardReloads reads the configuration on each SIGHUP and posts the result to the event loop. It has its own
// goroutine, so that the router serves requests while the file is being read.
func (w *signalWatcher) forwardReloads(s *server, loadConfig func() (*config, error)) {
	for {
		select {
		case <-w.reloads:
			updated, err := loadConfig()
			s.loop.Post(func() { s.reload(updated, err) })
		case <-w.closed:
			return
		}
	}
}

// forwardSignals posts the actions for SIGTERM, SIGINT and SIGUSR1 to the event loop.
func (w *signalWatcher) forwardSignals(s *server) {
	for {
		select {
		case sig := <-w.terminations:
			s.loop.Post(func() { s.handleTermination(sig) })
		case <-w.counterReports:
			s.loop.Post(s.logCounters)
		case <-w.closed:
			return
		}
	}
}
