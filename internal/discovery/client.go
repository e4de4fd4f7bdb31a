package discovery

import (
	"log/slog"
	"time"

	"functionrouter/internal/eventloop"
)

const (
	// pollInterval is the time between two queries. From 1.5 s after an event of the directory the router has to route by
	// it, whether or not an answer has reported it: several queries in that time make up for lost datagrams.
	pollInterval = 200 * time.Millisecond
	// redialDelay is the time from the last Poll before a socket is lost, or its dial fails, to the next dial. It is short,
	// so that a lost socket adds little to the time for which the directory is unreachable.
	redialDelay = 200 * time.Millisecond
)

// Transport is a socket to the directory; an eventloop.UDPConn is one.
type Transport interface {
	// Write sends each of bufs as one datagram and keeps none. What can't be sent is lost without an error.
	Write(bufs ...[]byte)
	// Close closes the socket; the handler's OnClose may still be called afterwards.
	Close()
}

// DialFunc opens a Transport to address, a "host:port", and returns it, never nil. handler gets the events of the socket:
// OnOpen with the result of the dial, which may come before DialFunc returns, OnData with each datagram, and OnClose.
type DialFunc func(address string, handler eventloop.DialHandler) Transport

// Client polls the directory for the endpoint list. The owner calls New, LoadInitial and then Poll, again and again.
type Client struct {
	QueriesSent     uint64 // queries sent to any directory
	AnswersReceived uint64 // usable answers, whether or not their list was newer

	dial     DialFunc
	onUpdate func([]Endpoint)
	list     endpointList

	address  string        // of the directory, "host:port"
	socket   *socket       // the current socket, dialed or open; nil while there is none
	now      time.Duration // the time of the last Poll
	nextPoll time.Duration // when the next query or dial is due

	lastAnswerAt time.Duration // see LastAnswerAt

	// failureLogged suppresses further log lines until the next usable answer or the next Migrate.
	failureLogged bool
}

// New returns a Client for the directory at address, a "host:port". onUpdate is called, during LoadInitial with the initial
// list and during an event of a socket with every list that is newer than the one before. The list is sorted by name and
// belongs to onUpdate, which may call EndpointCount and LastAnswerAt.
func New(address string, dial DialFunc, onUpdate func([]Endpoint)) *Client {
	return &Client{address: address, dial: dial, onUpdate: onUpdate, list: newEndpointList()}
}

// LoadInitial takes the initial list and passes it to onUpdate. Call it once, before Poll. It fails if a worker's address
// or phase can't be read; then onUpdate is not called, and the Client must not be used.
func (c *Client) LoadInitial(initial InitialEndpoints) error {
	if err := c.list.loadInitial(initial); err != nil {
		return err
	}
	c.onUpdate(c.list.sorted())
	return nil
}

// EndpointCount returns how many workers the newest list holds.
func (c *Client) EndpointCount() int { return len(c.list.endpoints) }

// LastAnswerAt returns the time of the last Poll before the last usable answer, 0 if none has come. During onUpdate the
// answer with the new list does not count yet.
func (c *Client) LastAnswerAt() time.Duration { return c.lastAnswerAt }

// Migrate moves to a directory at another address, a "host:port", which the next Poll from now on dials at once. The list
// and its serial stay: the new directory continues the numbering of the old one. Nothing that arrives on the socket to the
// old directory counts afterwards. If the address is the present one, Migrate does nothing.
func (c *Client) Migrate(now time.Duration, address string) {
	if address == c.address {
		return
	}
	c.address = address
	c.nextPoll = now
	c.failureLogged = false
	if c.socket != nil {
		replaced := c.socket
		c.socket = nil // before the close, so that the socket's OnClose is ignored
		replaced.transport.Close()
	}
}

// Poll dials or sends a query if one of them is due at now, and returns the time at which it should be called next. An
// event of a socket or Migrate may make that time earlier: call Poll after each turn of the event loop. While a dial has
// not ended, no query is sent.
func (c *Client) Poll(now time.Duration) (next time.Duration) {
	c.now = now
	if now < c.nextPoll {
		return c.nextPoll
	}
	if c.socket == nil {
		c.nextPoll = now + redialDelay
		c.openSocket()
		return c.nextPoll
	}
	c.nextPoll = now + pollInterval
	if c.socket.open {
		c.socket.sendQuery()
		c.QueriesSent++
	}
	return c.nextPoll
}

// openSocket dials the directory. The socket is the current one before the dial, which may call its handler.
func (c *Client) openSocket() {
	s := &socket{client: c}
	c.socket = s
	s.transport = c.dial(c.address, s)
}

// socketClosed drops the current socket, which has closed or could not be dialed; Poll dials another after redialDelay.
func (c *Client) socketClosed(err error) {
	c.logFailure("directory unreachable", err)
	c.socket = nil
	c.nextPoll = c.now + redialDelay
}

// answerReceived takes the list of an answer if it is newer. err says why the answer can't be used; nil: it could be
// parsed. An answer that can't be used, also because its list lacks a worker's address, changes nothing and is logged.
func (c *Client) answerReceived(r response, err error) {
	changed := false
	if err == nil {
		changed, err = c.list.update(r)
	}
	if err != nil {
		c.logFailure("directory answer not usable", err)
		return
	}
	if changed {
		c.onUpdate(c.list.sorted())
	}
	c.failureLogged = false
	c.lastAnswerAt = c.now // after onUpdate, which needs the time of the answer before
	c.AnswersReceived++
}

// logFailure logs only the first failure since the last usable answer or Migrate: an unreachable directory fails several
// times a second.
func (c *Client) logFailure(event string, err error) {
	if !c.failureLogged {
		slog.Warn(event, "address", c.address, "error", err)
	}
	c.failureLogged = true
}
