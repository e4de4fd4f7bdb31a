package discovery

import (
	"log/slog"
	"time"

	"functionrouter/internal/eventloop"
)

const (
	// pollInterval is the time between two queries. From 1.5 s after a directory event, the router must route according
	// to the event, whether or not an answer has reported it by then. The interval allows several queries within 1.5 s,
	// so that the loss of single datagrams does no harm.
	pollInterval = 200 * time.Millisecond
	// redialDelay is the delay before the next dial after a socket has closed or its dial has failed. The delay begins
	// with the last Poll before the failure. A short delay adds little to the time for which the directory is
	// unreachable.
	redialDelay = 200 * time.Millisecond
)

// Transport is a socket to the directory, such as an eventloop.UDPConn.
type Transport interface {
	// Write sends each of bufs as one datagram and retains none of them. A datagram that can't be sent is dropped
	// without an error.
	Write(bufs ...[]byte)
	// Close closes the socket; the handler's OnClose may still be called afterwards.
	Close()
}

// DialFunc opens a Transport to address, a "host:port", and never returns nil. It reports the events of the socket to
// handler: OnOpen with the result of the dial, possibly before DialFunc returns, OnData with each datagram, and
// OnClose.
type DialFunc func(address string, handler eventloop.DialHandler) Transport

// Client polls the directory for the endpoint list. Its owner calls New, then LoadInitial, and then Poll repeatedly.
type Client struct {
	QueriesSent     uint64 // queries sent to all directories together
	AnswersReceived uint64 // usable answers, including those whose list was not newer

	dial     DialFunc
	onUpdate func([]Endpoint)
	list     endpointList

	address  string        // the directory's address, a "host:port"
	socket   *socket       // the current socket, open or being dialed; nil if there is none
	now      time.Duration // the time of the last Poll
	nextPoll time.Duration // when the next query or dial is due

	lastAnswerAt time.Duration // see LastAnswerAt

	// failureLogged suppresses log lines for further failures until the next usable answer or the next Migrate.
	failureLogged bool
}

// New returns a Client for the directory at address, a "host:port". The Client calls onUpdate with each new list: with
// the initial list during LoadInitial, and with every newer list during an event of a socket. The list is sorted by
// name, and onUpdate may keep and change it. onUpdate may call EndpointCount and LastAnswerAt.
func New(address string, dial DialFunc, onUpdate func([]Endpoint)) *Client {
	return &Client{address: address, dial: dial, onUpdate: onUpdate, list: newEndpointList()}
}

// LoadInitial loads the initial list and passes it to onUpdate. Call it once, before Poll. It fails if the address or
// the phase of a worker is invalid; onUpdate is not called then, and the Client must not be used.
func (c *Client) LoadInitial(initial InitialEndpoints) error {
	if err := c.list.loadInitial(initial); err != nil {
		return err
	}
	c.onUpdate(c.list.sorted())
	return nil
}

// EndpointCount returns the number of workers in the newest list.
func (c *Client) EndpointCount() int { return len(c.list.endpoints) }

// LastAnswerAt returns the time of the last Poll before the last usable answer arrived, or 0 if there has been no
// usable answer. During a call of onUpdate, the last usable answer is still the one before that with the new list.
func (c *Client) LastAnswerAt() time.Duration { return c.lastAnswerAt }

// Migrate changes the directory's address, a "host:port". The first Poll at or after now dials the new address. The
// list and its serial are kept, because the new directory continues the numbering of the previous one. Later events of
// the socket to the previous directory are ignored. If the address is unchanged, Migrate does nothing.
func (c *Client) Migrate(now time.Duration, address string) {
	if address == c.address {
		return
	}
	c.address = address
	c.nextPoll = now
	c.failureLogged = false
	if c.socket != nil {
		replaced := c.socket
		c.socket = nil // before Close, so that the socket's OnClose is ignored
		replaced.transport.Close()
	}
}

// Poll dials the directory or sends a query, if one of them is due at now, and returns the time at which it should be
// called next. An event of a socket or a call of Migrate may make that time earlier, so call Poll after each turn of
// the event loop. Poll sends no query while a dial is in progress.
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

// openSocket dials the directory. It makes the socket the current one before the dial, because the dial may call the
// socket's handler.
func (c *Client) openSocket() {
	s := &socket{client: c}
	c.socket = s
	s.transport = c.dial(c.address, s)
}

// socketClosed drops the current socket, which has closed or could not be dialed, and schedules the next dial.
func (c *Client) socketClosed(err error) {
	c.logFailure("directory unreachable", err)
	c.socket = nil
	c.nextPoll = c.now + redialDelay
}

// answerReceived applies the list of an answer if it is newer than the current list. err is the reason why the answer
// is unusable, or nil if parsing it and matching it to a query succeeded. An unusable answer, such as one with a list
// that lacks a worker's address, does not change the list and is passed to logFailure.
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
	c.lastAnswerAt = c.now // after onUpdate, which needs the time of the previous answer
	c.AnswersReceived++
}

// logFailure logs only the first failure since the last usable answer or Migrate, because an unreachable directory
// causes several failures a second.
func (c *Client) logFailure(message string, err error) {
	if !c.failureLogged {
		slog.Warn(message, "address", c.address, "error", err)
	}
	c.failureLogged = true
}
