package discovery

import (
	"math/rand/v2"
	"slices"
)

// maxPendingQueries is how many of the last queries are pending at most. The answer to an older one is not usable.
const maxPendingQueries = 32

// socket is one socket to the directory and the handler of its events. A socket is current from its dial until it closes
// or Client.Migrate replaces it; events of a replaced one are ignored. Each has pending queries of its own, so that a late
// answer from a directory at an earlier address is no answer to a query of the current socket.
type socket struct {
	client    *Client
	transport Transport
	open      bool     // the dial has succeeded
	pending   []uint16 // ids of the queries without an answer, the latest last
}

// isCurrent reports whether the client still uses the socket.
func (s *socket) isCurrent() bool { return s.client.socket == s }

// sendQuery sends a query under an id that can't be guessed and that no other pending one has (RFC 5452).
func (s *socket) sendQuery() {
	id := uint16(rand.Uint32())
	for slices.Contains(s.pending, id) {
		id++
	}
	oldestKept := max(0, len(s.pending)+1-maxPendingQueries)
	s.pending = append(s.pending[oldestKept:], id)
	s.transport.Write(encodeQuery(id))
}

// OnOpen handles the end of the dial: the first query is due at once, or the socket has failed.
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

// OnData handles an answer. A directory slower than pollInterval answers a query that is no longer the latest; if only the
// answer to the latest counted, none would. Lists are complete, so that a lost or overtaken answer does no harm.
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

// removePending ends the query with that id. It fails with errUnexpectedID if none is pending.
func (s *socket) removePending(id uint16) error {
	i := slices.Index(s.pending, id)
	if i < 0 {
		return errUnexpectedID
	}
	s.pending = slices.Delete(s.pending, i, i+1)
	return nil
}
