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

// violationLogInterval is the minimum time between two log lines about clients that violated the protocol. Without this
// limit, any client that can connect could fill the log.
const violationLogInterval = time.Second

// RequestRouter routes the requests that clients send. *router.Router implements it. now is the current time on the
// event loop's clock.
type RequestRouter interface {
	// Submit routes a request and returns its ID. The router calls the request's Responder at most once: either before
	// Submit returns, in which case the ID must not be used, or later on the event loop's goroutine.
	Submit(now time.Duration, r router.Request) policy.RequestID
	// RefuseAtOnce refuses a request without routing it. The request's Responder is called before RefuseAtOnce returns.
	RefuseAtOnce(now time.Duration, r router.Request)
	// Cancel cancels an open request whose client has stopped waiting for the answer. Its Responder is not called.
	Cancel(now time.Duration, id policy.RequestID, cause router.CancelCause)
	// Disconnect answers an open request as refused or failed and then cancels it, because its client will send nothing
	// more. The request's Responder is called before Disconnect returns.
	Disconnect(now time.Duration, id policy.RequestID)
}

// Transport is the connection to a client. *eventloop.Conn implements it. Neither method calls the connection's handler
// before it returns.
type Transport interface {
	// Write queues bufs for sending, in this order. Neither the caller nor the Transport changes their bytes afterwards.
	Write(bufs ...[]byte)
	// CloseAfterFlush closes the connection when all written bytes have been sent. The Transport receives nothing more
	// and drops later writes.
	CloseAfterFlush()
}

// Server serves Thrift clients.
type Server struct {
	router       RequestRouter
	classes      map[string]int       // the class's index in the settings, by name
	tenants      map[string]int       // the tenant's index in the settings, by name
	clock        func() time.Duration // see Config
	inputTime    func() time.Duration // see Config
	ready        func() bool          // see Config
	violationLog logging.Throttle
}

// Config holds the dependencies and settings of a Server. All fields are required.
type Config struct {
	Router  RequestRouter
	Classes []string // class names in the order of the settings; a request holds the index of its class
	Tenants []string // tenant names in the order of the settings; a request holds the index of its tenant

	// Clock is the event loop's clock. InputTime returns the earliest time on this clock at which the bytes that are
	// being handled may have arrived. A request's deadline is counted from it, because the client starts to wait before
	// its bytes arrive.
	Clock     func() time.Duration
	InputTime func() time.Duration

	// Ready reports whether clients should send requests to this router. The reply to a check call holds the result.
	Ready func() bool
}

// New returns a Server that passes clients' requests to cfg.Router.
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

// Accept returns the handler of a connection that a client has opened. The event loop owns the connection and the
// handler.
func (s *Server) Accept(c *eventloop.Conn) eventloop.AcceptedHandler {
	return s.newConnection(c, c, c.RemoteAddr())
}

// newConnection returns the handler of a connection. transport and input are its two directions.
func (s *Server) newConnection(transport Transport, input router.Input, clientAddr netip.AddrPort) *connection {
	return &connection{
		server:     s,
		transport:  transport,
		input:      input,
		clientAddr: clientAddr,
		openCalls:  map[uint32]*call{},
	}
}

// logViolation counts a connection that is closed because its client violated the protocol. At most once per
// violationLogInterval it logs the count since the last line and the latest error. Violations that are counted within
// the interval are logged together with the first violation after it.
func (s *Server) logViolation(err error) {
	s.violationLog.Add()
	if count, due := s.violationLog.Ready(s.clock()); due {
		slog.Warn("client connections closed for protocol violations",
			"frontend", "thrift", "count", count, "error", err)
	}
}
