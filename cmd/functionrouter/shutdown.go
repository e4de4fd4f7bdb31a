package main

import "time"

const (
	// shutdownGracePeriod is how long after SIGTERM new requests are still accepted. Clients connect for 0.4 s
	// more, and send requests on open connections for another 0.2 s; what came within 0.7 s must be answered.
	shutdownGracePeriod = 750 * time.Millisecond

	// shutdownCheckInterval is how often, at least, a server that shuts down checks whether it is done.
	shutdownCheckInterval = 10 * time.Millisecond
)

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	startedAt    time.Duration // on the loop's clock; 0 before it begins
	flushTimeout time.Duration // see config.flushTimeout
}

// begun reports whether the server is shutting down.
func (s *shutdown) begun() bool { return s.startedAt > 0 }

// advanceShutdown stops the loop once the grace period is over and every request has its answer. From the end of the
// grace period on, the router refuses new requests. Answers that clients have not read, messages that have come in
// part and notices that are not delivered are waited for until the flush timeout.
func (s *server) advanceShutdown(now time.Duration) {
	elapsed := now - s.shutdown.startedAt
	s.router.Draining = elapsed >= shutdownGracePeriod
	if !s.router.Draining || s.router.OpenRequests() > 0 {
		return
	}
	if s.flushed() || elapsed >= s.shutdown.flushTimeout {
		s.loop.Stop()
	}
}

// flushed reports whether nothing is left to be sent, and no request has come in part.
func (s *server) flushed() bool {
	return s.loop.UnreadBytes() == 0 && !s.loop.HasPartialMessages() && s.extensions.openNotices() == 0
}
