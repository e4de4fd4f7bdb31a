package discovery

import (
	"math/rand/v2"
	"slices"
)

// maxPendingQueries bounds the queries of one socket that are pending; the oldest is given up for a new one. At a query
// each pollInterval, an answer is usable for some 6 s.
const maxPendingQueries = 32

// socket is one socket to the directory and the eventloop.DialHandler of its events. It is current from its dial until it
// closes or Client.Migrate replaces it; afterwards its events are ignored. Each socket has pending queries of its own, so
// that no answer counts that a directory sends to another socket.
type socket struct {
	client    *Client
	transport Transport
	open      bool     // the dial has succeeded
	pending   []uint16 // ids of the queries without an answer, the latest last
}

// isCurrent reports whether the client still uses the socket.
func (s *socket) isCurrent() bool { return s.client.socket == s }

// sendQuery sends a query under an id that is hard to guess (RFC 5452) and that no other pending one has.
func (s *socket) sendQuery() {
	id := uint16(rand.Uint32())
	for slices.Contains(s.pending, id) {
		id++
	}
	oldestKept := max(0, len(s.pending)+1-maxPendingQueries)
	s.pending = append(s.pending[oldestKept:], id)
	s.transport.Write(encodeQuery(id))
}

// OnOpen handles the end of the dial: the first query is due at once, or the dial has failed, which ends the socket.
func (s *socket) OnOpen(err error) {
	s.open = err == nil
	if err != nil {
		s.OnClose(err)
		return
	}
	if s.isCurrent() {
		s.client.nextPoll = s.client.now
	}
}

// OnClose makes the client open another socket, unless this one was replaced.
func (s *socket) OnClose(err error) {
	if s.isCurrent() {
		s.client.socketClosed(err)
	}
}

// OnData handles an answer, which may be to any pending query: a directory slower than pollInterval never answers the
// latest one in time. Lists are complete, so that it does no harm if an answer is lost or overtaken by another. A query
// stays pending if its answer can't be parsed.
func (s *socket) OnData(message []byte) {
	if !s.isCurrent() {
		return
	}
	id, r, err := parseResponse(message)
	if err == nil {
		err = s.removePending(id)
	}
	s.client.answerReceived(r, err)
}

// removePending removes the query with that id from the pending ones. It fails with errUnexpectedID if there is none.
func (s *socket) removePending(id uint16) error {
	i := slices.Index(s.pending, id)
	if i < 0 {
		return errUnexpectedID
	}
	s.pending = slices.Delete(s.pending, i, i+1)
	return nil
}
