package discovery

import (
	"log/slog"
	"time"

	"functionrouter/internal/eventloop"
)

const (
	// pollInterval is the time between two queries. It allows several within 1.5 s, after which the router is
	// accountable for an event of the directory, whether an answer has told of it or not.
	pollInterval = 200 * time.Millisecond
	// redialDelay is the time between the loss of a socket and the next dial. It is short, so that a lost socket adds
	// little to the time for which the directory is unreachable.
	redialDelay = 200 * time.Millisecond
)

// Transport is a socket to the directory; an eventloop.UDPConn is one.
type Transport interface {
	// Write sends the concatenation of bufs as one datagram.
	Write(bufs ...[]byte)
	// Close closes the socket; the handler's OnClose may still be called afterwards.
	Close()
}

// DialFunc opens a Transport to address, a "host:port". handler gets the events of the socket: OnOpen with the result of
// the dial, also before DialFunc returns, OnData with each datagram, and OnClose.
type DialFunc func(address string, handler eventloop.DialHandler) Transport

// Client polls the directory for the endpoint list. New makes one; the owner calls Poll.
type Client struct {
	QueriesSent     uint64 // queries sent to any directory
	AnswersReceived uint64 // usable answers, whether or not their list was newer

	dial     DialFunc
	onUpdate func([]Endpoint)
	list     endpointList

	address  string        // of the directory, "host:port"
	socket   *socket       // the current socket; nil while there is none
	now      time.Duration // the time of the last Poll
	nextPoll time.Duration // when the next query or dial is due

	lastAnswerAt time.Duration // when the last usable answer came; 0: none has

	// failureLogged suppresses further log lines until the next usable answer.
	failureLogged bool
}

// New returns a Client for the directory at address, a "host:port". onUpdate is called, during LoadInitial or an event of a
// socket, with every list that is newer than the one before. The list is sorted by name and belongs to onUpdate.
func New(address string, dial DialFunc, onUpdate func([]Endpoint)) *Client {
	return &Client{address: address, dial: dial, onUpdate: onUpdate, list: newEndpointList()}
}

// LoadInitial takes the initial list and passes it to onUpdate. It fails if a worker's address or phase can't be read; then
// onUpdate is not called, and the Client must not be used.
func (c *Client) LoadInitial(initial InitialEndpoints) error {
	if err := c.list.loadInitial(initial); err != nil {
		return err
	}
	c.onUpdate(c.list.sorted())
	return nil
}

// EndpointCount returns how many workers are known.
func (c *Client) EndpointCount() int { return len(c.list.endpoints) }

// LastAnswerAt returns when the last usable answer came, 0 if none has. During onUpdate the answer with the new list does
// not count yet.
func (c *Client) LastAnswerAt() time.Duration { return c.lastAnswerAt }

// Migrate moves to a directory at another address, which the next Poll dials at once. The list and its serial stay: the new
// directory continues the numbering of the old one. Nothing that arrives on the socket to the old directory counts
// afterwards.
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

// Poll dials or sends a query if one of them is due at now, and returns the time at which it should be called next.
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

// socketClosed drops the current socket; Poll opens another one after redialDelay.
func (c *Client) socketClosed(err error) {
	c.logFailure("directory unreachable", err)
	c.socket = nil
	c.nextPoll = c.now + redialDelay
}

// answerReceived applies the list of an answer if it is newer. An answer with an error, its own or that of its list,
// changes nothing and is logged.
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
	c.lastAnswerAt = c.now
	c.AnswersReceived++
}

// logFailure logs only the first failure after a usable answer: an unreachable directory fails several times
// a second.
func (c *Client) logFailure(event string, err error) {
	if !c.failureLogged {
		slog.Warn(event, "address", c.address, "error", err)
	}
	c.failureLogged = true
}
