package discovery

import (
	"math/rand/v2"
	"slices"
)

// maxPendingQueries bounds the number of pending queries of one socket. At the limit, each new query discards the
// oldest one. With one query per pollInterval, an answer is accepted up to about 6 s after its query.
const maxPendingQueries = 32

// socket is one socket to the directory and the eventloop.DialHandler of its events. It is current from its dial until
// it closes or Client.Migrate drops it; afterwards its events are ignored. Each socket has its own list of pending
// queries, so that it accepts only answers to queries that were sent on it.
type socket struct {
	client    *Client
	transport Transport
	open      bool     // the dial has succeeded
	pending   []uint16 // ids of the unanswered queries, the latest last
}

// isCurrent reports whether the client still uses the socket.
func (s *socket) isCurrent() bool { return s.client.socket == s }

// sendQuery sends a query. Its id is hard to guess (RFC 5452) and differs from the ids of all pending queries.
func (s *socket) sendQuery() {
	id := uint16(rand.Uint32())
	for slices.Contains(s.pending, id) {
		id++
	}
	oldestKept := max(0, len(s.pending)+1-maxPendingQueries)
	s.pending = append(s.pending[oldestKept:], id)
	s.transport.Write(encodeQuery(id))
}

// OnOpen handles the result of the dial. After a successful dial the first query is due at once. A failed dial is
// handled as a close of the socket.
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

// OnClose makes the client open another socket if this one is still current.
func (s *socket) OnClose(err error) {
	if s.isCurrent() {
		s.client.socketClosed(err)
	}
}

// OnData handles an answer. It accepts an answer to any pending query, because a directory that takes longer than
// pollInterval to answer never answers the latest query. Lost and reordered answers do no harm, because each list is
// complete. A query stays pending if its answer can't be parsed.
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

// removePending removes the query with this id from the pending queries. It fails with errUnexpectedID if no pending
// query has this id.
func (s *socket) removePending(id uint16) error {
	i := slices.Index(s.pending, id)
	if i < 0 {
		return errUnexpectedID
	}
	s.pending = slices.Delete(s.pending, i, i+1)
	return nil
}
