package main

import (
	"log/slog"
	"os"
	"time"
)

const (
	// shutdownGracePeriod is how long after SIGTERM new requests are still routed; later ones are refused. Clients connect
	// for 0.4 s after SIGTERM, and send requests on open connections for another 0.2 s; the rest is a margin.
	shutdownGracePeriod = 650 * time.Millisecond

	// shutdownQuietPeriod is how long there must have been no client connection before a server that shuts down ends: a
	// client that has just connected may still wait to be accepted.
	shutdownQuietPeriod = 200 * time.Millisecond

	// shutdownCheckInterval is the longest time between two checks of whether a shutdown is complete.
	shutdownCheckInterval = 10 * time.Millisecond

	// shutdownLogInterval is the time between two log lines on what a shutdown waits for.
	shutdownLogInterval = time.Second
)

// shutdown is the state of a graceful shutdown. All times are on the loop's clock.
type shutdown struct {
	startedAt    time.Duration // 0 before it begins
	lastClientAt time.Duration // when a client connection was last seen open; at first startedAt
	lastLogAt    time.Duration // when logShutdown last wrote a line
	flushTimeout time.Duration // see config.flushTimeout
}

// begun reports whether the server is shutting down.
func (s *shutdown) begun() bool { return s.startedAt > 0 }

// handleTermination logs the counters, and begins the shutdown unless one has begun.
func (s *server) handleTermination(sig os.Signal) {
	s.logCounters()
	if s.shutdown.begun() {
		return
	}
	s.beginShutdown(s.loop.Now())
	slog.Info("shutdown started", "signal", sig.String())
}

// beginShutdown starts the graceful shutdown. Each request, open or yet to come, is answered by the end of the flush
// timeout, counted from now, whatever time its client has left: the platform kills the process soon after.
func (s *server) beginShutdown(now time.Duration) {
	s.shutdown.startedAt = now
	s.shutdown.lastClientAt = now
	s.shutdown.lastLogAt = now
	s.router.BeginShutdown(now, now+s.shutdown.flushTimeout)
}

// advanceShutdown stops the loop once the grace period is over, no client connection has been open for the quiet period, no
// request is open, and the notices are delivered or the flush timeout has passed. Until then clients may send requests;
// after the grace period the router refuses them. It closes no connection by itself: a request may be on its way, and its
// client may have no other router to send it to. It is called in each turn of the loop once the shutdown has begun.
func (s *server) advanceShutdown(now time.Duration) {
	elapsed := now - s.shutdown.startedAt
	graceOver := elapsed >= shutdownGracePeriod
	if graceOver {
		s.router.StopAdmitting()
	}
	if s.loop.AcceptedConnections() > 0 {
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

// logShutdownProgress logs what the shutdown waits for, when a line is due.
func (s *server) logShutdownProgress(now time.Duration) {
	if now-s.shutdown.lastLogAt < shutdownLogInterval {
		return
	}
	s.shutdown.lastLogAt = now
	slog.Info("shutdown waits", "elapsed", now-s.shutdown.startedAt, "connections", s.loop.AcceptedConnections(),
		"open_requests", s.router.OpenRequests(), "unread_bytes", s.loop.UnreadBytes(),
		"partial_messages", s.loop.HasPartialMessages(), "open_notices", s.extensions.openNotices())
}
