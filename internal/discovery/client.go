// Package discovery keeps the list of workers up to date: the configuration holds the initial list, and a
// directory that is polled by DNS over UDP (RFC 1035, with the SRV records of RFC 2782) holds every later one.
//
// All of the package's state belongs to the event loop's goroutine: nothing in it is safe for concurrent use.
package discovery

import (
	"log/slog"
	"time"

	"functionrouter/internal/eventloop"
)

const (
	// pollInterval leaves room for several queries within the 1.5 s after which the router answers for an
	// event, whether it has heard of it or not.
	pollInterval = 200 * time.Millisecond
	// redialDelay is short, so that a lost socket adds little to the time that the directory is unreachable.
	redialDelay = 200 * time.Millisecond
)

// Transport is a socket to the directory; an eventloop.UDPConn is one.
type Transport interface {
	// Write sends the concatenation of bufs as one datagram.
	Write(bufs ...[]byte)
	// Close closes the socket; the handler's OnClose may still be called afterwards.
	Close()
}

// DialFunc opens a Transport to address, a host and port; handler is told of its opening, data and close.
type DialFunc func(address string, handler eventloop.DialHandler) Transport

// Client polls the directory for the list of workers.
type Client struct {
	QueriesSent     uint64 // queries sent to any directory
	AnswersReceived uint64 // usable answers, whether or not their list was newer

	dial     DialFunc
	onUpdate func([]Endpoint)
	list     endpointList

	address  string
	socket   *socket // nil while there is none
	now      time.Duration
	nextPoll time.Duration

	lastAnswerAt time.Duration // when the last usable answer came; 0: none has

	// failureLogged holds back further log lines until the next usable answer.
	failureLogged bool
}

// New returns a Client for the directory at address. onUpdate is called with every list that is newer than
// the one before, sorted by name.
func New(address string, dial DialFunc, onUpdate func([]Endpoint)) *Client {
	return &Client{address: address, dial: dial, onUpdate: onUpdate, list: newEndpointList()}
}

// LoadInitial takes the initial list and passes it on. It fails where a worker's address or phase can't be read.
func (c *Client) LoadInitial(initial InitialEndpoints) error {
	if err := c.list.loadInitial(initial); err != nil {
		return err
	}
	c.onUpdate(c.list.sorted())
	return nil
}

// EndpointCount returns how many workers are known.
func (c *Client) EndpointCount() int { return len(c.list.endpoints) }

// LastAnswerAt returns when the last usable answer came, 0 if none has; in onUpdate, the one before the answer that it is
// about.
func (c *Client) LastAnswerAt() time.Duration { return c.lastAnswerAt }

// Migrate moves to a directory at another address, which is polled at once. The list and its serial stay:
// the new directory continues the numbering of the old one.
func (c *Client) Migrate(now time.Duration, address string) {
	if address == c.address {
		return
	}
	c.address = address
	c.nextPoll = now
	c.failureLogged = false
	if c.socket != nil {
		abandoned := c.socket
		c.socket = nil // before the close, so that its OnClose is ignored
		abandoned.transport.Close()
	}
}

// Poll dials or sends a query if that is due at now, and returns when the next one is.
func (c *Client) Poll(now time.Duration) time.Duration {
	c.now = now
	if now < c.nextPoll {
		return c.nextPoll
	}
	if c.socket == nil {
		c.nextPoll = now + redialDelay
		// The socket is registered before the dial, which may call its handler.
		s := &socket{client: c}
		c.socket = s
		s.transport = c.dial(c.address, s)
		return c.nextPoll
	}
	c.nextPoll = now + pollInterval
	if c.socket.open {
		c.socket.sendQuery()
		c.QueriesSent++
	}
	return c.nextPoll
}

// socketClosed drops the current socket; Poll opens another one after a short delay.
func (c *Client) socketClosed(err error) {
	c.logFailure("directory unreachable", err)
	c.socket = nil
	c.nextPoll = c.now + redialDelay
}

// answerReceived applies the list of an answer, or logs what was wrong with it.
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
