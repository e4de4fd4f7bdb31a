package main

import (
	"log/slog"
	"os"
	"time"
)

const (
	// shutdownGracePeriod is how long after SIGTERM the router still accepts new requests; it refuses later ones.
	// Clients open connections for 0.4 s after SIGTERM, and send requests on open connections for another 0.2 s; the
	// rest is a margin.
	shutdownGracePeriod = 650 * time.Millisecond

	// shutdownQuietPeriod is how long the router must have had no open client connection before it ends, because a
	// client that has just connected may still wait to be accepted.
	shutdownQuietPeriod = 200 * time.Millisecond

	// shutdownCheckInterval is the longest time between two checks whether a shutdown is complete.
	shutdownCheckInterval = 10 * time.Millisecond

	// shutdownLogInterval is the time between two log messages about the progress of a shutdown.
	shutdownLogInterval = time.Second
)

// shutdown is the state of a graceful shutdown. All times are on the loop's clock.
type shutdown struct {
	startedAt    time.Duration // 0 before the shutdown begins
	lastClientAt time.Duration // when a client connection was last open or waiting to be accepted; initially startedAt
	lastLogAt    time.Duration // when logShutdownProgress last logged; initially startedAt
	flushTimeout time.Duration // see config.flushTimeout
}

// begun reports whether the server is shutting down.
func (s *shutdown) begun() bool { return s.startedAt > 0 }

// handleTermination logs the counters, and begins the shutdown if none has begun.
func (s *server) handleTermination(sig os.Signal) {
	s.logCounters()
	if s.shutdown.begun() {
		return
	}
	s.beginShutdown(s.loop.Now())
	slog.Info("shutdown started", "signal", sig.String())
}

// beginShutdown starts the graceful shutdown. The router answers the open requests, and those that arrive later, by the
// end of the flush timeout, which begins now, even if the client would wait longer, because the platform kills the
// process soon afterwards.
func (s *server) beginShutdown(now time.Duration) {
	s.shutdown.startedAt = now
	s.shutdown.lastClientAt = now
	s.shutdown.lastLogAt = now
	s.router.BeginShutdown(now, now+s.shutdown.flushTimeout)
}

// advanceShutdown stops the loop once the grace period is over, no client connection has been open or has been left in
// the backlog for the quiet period, no request is open, and either no notice is open or the flush timeout has passed.
// Until the loop stops, clients may send requests; after the grace period the router refuses them. advanceShutdown does
// not close any connection, because a request may be in transit and its client may have no other router. It is called in
// each turn of the loop once the shutdown has begun.
func (s *server) advanceShutdown(now time.Duration) {
	elapsed := now - s.shutdown.startedAt
	graceOver := elapsed >= shutdownGracePeriod
	if graceOver {
		s.router.StopAdmitting()
	}
	if s.loop.AcceptedConnections() > 0 || s.loop.HasBacklog() {
		s.shutdown.lastClientAt = now
	}
	if !graceOver || now-s.shutdown.lastClientAt < shutdownQuietPeriod {
		s.logShutdownProgress(now)
		return
	}
	requestsDone := s.router.OpenRequests() == 0
	noticesDone := s.extensions.openNotices() == 0 || elapsed >= s.shutdown.flushTimeout
	if requestsDone && noticesDone {
		s.loop.Stop()
		return
	}
	s.logShutdownProgress(now)
}

// logShutdownProgress logs what the shutdown waits for, once in each shutdownLogInterval.
func (s *server) logShutdownProgress(now time.Duration) {
	if now-s.shutdown.lastLogAt < shutdownLogInterval {
		return
	}
	s.shutdown.lastLogAt = now
	slog.Info("shutdown waits", "elapsed", now-s.shutdown.startedAt, "connections", s.loop.AcceptedConnections(),
		"open_requests", s.router.OpenRequests(), "unread_bytes", s.loop.UnreadBytes(),
		"partial_messages", s.loop.HasPartialMessages(), "open_notices", s.extensions.openNotices())
}
