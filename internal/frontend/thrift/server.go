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

// violationLogInterval is the least time between two log lines about clients that broke the protocol: whoever can
// connect could fill the log otherwise.
const violationLogInterval = time.Second

// RequestRouter routes the requests that clients send. A *router.Router is one.
type RequestRouter interface {
	// Submit routes a request and returns its ID. The request's Responder may be called before Submit returns.
	Submit(now time.Duration, r router.Request) policy.RequestID
	// RefuseAtOnce refuses a request without routing it. Its Responder is called before RefuseAtOnce returns.
	RefuseAtOnce(now time.Duration, r router.Request)
	// Cancel gives up a request whose client no longer waits for the response.
	Cancel(now time.Duration, id policy.RequestID, cause router.CancelCause)
	// Disconnect gives up a request whose client sends nothing more. Its Responder is called before Disconnect returns.
	Disconnect(now time.Duration, id policy.RequestID)
}

// Transport is the connection to a client. A *eventloop.Conn is one.
type Transport interface {
	// Write sends bufs in order and takes them over.
	Write(bufs ...[]byte)
	// CloseAfterFlush closes the connection once all that was written has left. No more is received.
	CloseAfterFlush()
}

// Server serves Thrift clients.
type Server struct {
	router  RequestRouter
	classes map[string]int // position in the settings, by name
	tenants map[string]int // position in the settings, by name
	clock   func() time.Duration
	// inputTime says when, at the earliest, what is being read came.
	inputTime func() time.Duration
	ready     func() bool

	violationLog logging.Throttle
}

// New returns a Server that hands requests to requestRouter. classes and tenants are the names from the settings, in
// their order: a request carries the position of its own. clock is the event loop's clock, and inputTime says when what is being
// read may have come; ready says what the method check answers.
func New(
	requestRouter RequestRouter, classes, tenants []string, clock, inputTime func() time.Duration, ready func() bool,
) *Server {
	return &Server{
		router:       requestRouter,
		classes:      positionsByName(classes),
		tenants:      positionsByName(tenants),
		clock:        clock,
		inputTime:    inputTime,
		ready:        ready,
		violationLog: logging.Throttle{Interval: violationLogInterval},
	}
}

func positionsByName(names []string) map[string]int {
	positions := make(map[string]int, len(names))
	for i, name := range names {
		positions[name] = i
	}
	return positions
}

// Accept returns the handler of a connection that a client has opened.
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

// logViolation counts a connection that is closed because its client broke the protocol, and logs the count and the
// latest error when a line is due.
func (s *Server) logViolation(err error) {
	s.violationLog.Add()
	if count, due := s.violationLog.Ready(s.clock()); due {
		slog.Warn("client connections closed for protocol violations",
			"frontend", "thrift", "count", count, "error", err)
	}
}
