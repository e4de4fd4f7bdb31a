package thrift

import (
	"log/slog"
	"net/netip"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/logging"
	"functionrouter/internal/router"
	"functionrouter/policy"
)

// violationLogInterval is the minimum time between two log lines about clients that violated the protocol. Otherwise
// anyone who can connect could fill the log.
const violationLogInterval = time.Second

// RequestRouter routes the requests that clients send. A *router.Router is one. now is the event loop's clock.
type RequestRouter interface {
	// Submit routes a request and returns its ID. The request's Responder is called once at most: before Submit returns,
	// and then the ID has no meaning, or later on the event loop's goroutine.
	Submit(now time.Duration, r router.Request) policy.RequestID
	// RefuseAtOnce refuses a request without routing it. Its Responder is called before RefuseAtOnce returns.
	RefuseAtOnce(now time.Duration, r router.Request)
	// Cancel cancels an open request whose client no longer waits for the response. Its Responder is not called.
	Cancel(now time.Duration, id policy.RequestID, cause router.CancelCause)
	// Disconnect ends an open request whose client sends nothing more, as refused or failed. Its Responder is called
	// before Disconnect returns.
	Disconnect(now time.Duration, id policy.RequestID)
}

// Transport is the connection to a client. A *eventloop.Conn is one. Neither method calls the connection's handler before
// it returns.
type Transport interface {
	// Write queues bufs for sending, one after the other. Neither the caller nor the Transport changes their bytes
	// afterwards.
	Write(bufs ...[]byte)
	// CloseAfterFlush closes the connection when everything written has been sent. Nothing more is received, and later
	// writes are dropped.
	CloseAfterFlush()
}

// Server serves Thrift clients.
type Server struct {
	router       RequestRouter
	classes      map[string]int       // index in the settings, by name
	tenants      map[string]int       // index in the settings, by name
	clock        func() time.Duration // see Config
	inputTime    func() time.Duration // see Config
	ready        func() bool          // see Config
	violationLog logging.Throttle
}

// Config is what a Server is built from. All of it is needed.
type Config struct {
	Router  RequestRouter
	Classes []string // names, as the settings list them: a request carries the index of its own
	Tenants []string // the same of the tenants

	// Clock is the event loop's clock. InputTime returns the earliest time on it at which the bytes that are being read
	// may have arrived: deadlines count from it, since the client's wait began before.
	Clock     func() time.Duration
	InputTime func() time.Duration

	// Ready reports whether the client should send requests to this program. It is the reply to the method check.
	Ready func() bool
}

// New returns a Server that hands requests to the router.
func New(cfg Config) *Server {
	return &Server{
		router:       cfg.Router,
		classes:      indexesByName(cfg.Classes),
		tenants:      indexesByName(cfg.Tenants),
		clock:        cfg.Clock,
		inputTime:    cfg.InputTime,
		ready:        cfg.Ready,
		violationLog: logging.Throttle{Interval: violationLogInterval},
	}
}

// indexesByName returns the index of each name in names.
func indexesByName(names []string) map[string]int {
	indexes := make(map[string]int, len(names))
	for i, name := range names {
		indexes[name] = i
	}
	return indexes
}

// Accept returns the handler of a connection that a client has opened. The event loop owns both.
func (s *Server) Accept(c *eventloop.Conn) eventloop.AcceptedHandler {
	return s.newConnection(c, c.RemoteAddr())
}

func (s *Server) newConnection(transport Transport, clientAddr netip.AddrPort) *connection {
	return &connection{
		server:     s,
		transport:  transport,
		clientAddr: clientAddr,
		openCalls:  map[uint32]*call{},
	}
}

// logViolation counts a connection that is closed because its client violated the protocol. At most once in
// violationLogInterval it logs the count since the last line, with the latest error. What it counts in between waits for
// the next violation.
func (s *Server) logViolation(err error) {
	s.violationLog.Add()
	if count, due := s.violationLog.Ready(s.clock()); due {
		slog.Warn("client connections closed for protocol violations",
			"frontend", "thrift", "count", count, "error", err)
	}
}
