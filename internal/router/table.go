package router

import "functionrouter/policy"

// pendingRequest is a request that is still open, or whose attempts have not all ended.
type pendingRequest struct {
	Request // without Body and Responder once it is closed

	attempts               []attempt // by their numbers
	openAttempts           int       // attempts that have not ended
	endedAttemptMayHaveRun bool      // an attempt ended without proof that it never ran
	closed                 bool      // answered, or cancelled by the client
}

// mayHaveRun reports whether an attempt that has ended may have run, or an open one may still run.
func (p *pendingRequest) mayHaveRun() bool { return p.endedAttemptMayHaveRun || p.openAttempts > 0 }

// unservedStatus returns the status for an answer without a result: Refused, unless the request may have run.
func (p *pendingRequest) unservedStatus() Status {
	if p.mayHaveRun() {
		return Failed
	}
	return Refused
}

// requestTable holds the pending requests.
type requestTable struct {
	byID      map[policy.RequestID]*pendingRequest
	clientIDs map[string]struct{} // the Request.ID of each
	lastID    policy.RequestID
	open      int // requests that are not closed
	bodyBytes int // size of the open requests' bodies
}

func newRequestTable() requestTable {
	return requestTable{byID: map[policy.RequestID]*pendingRequest{}, clientIDs: map[string]struct{}{}}
}

// add stores req as open under a new id.
func (t *requestTable) add(req Request) policy.RequestID {
	id := t.nextID()
	t.byID[id] = &pendingRequest{Request: req}
	t.clientIDs[req.ID] = struct{}{}
	t.open++
	t.bodyBytes += len(req.Body)
	return id
}

// nextID returns an id that no pending request has. Ids ascend and begin again after the largest; 0, which stands for no
// request, is left out. So an id may be used again once all 2^32-1 of them have had their turn, but never while its
// request is open or an attempt of it is in flight. A timer that is left from the earlier request would then act on the
// later one. Such a timer is due within the earlier request's wait, which is minutes, and no router takes as many
// requests in that time.
func (t *requestTable) nextID() policy.RequestID {
	t.lastID++
	for t.lastID == 0 || t.byID[t.lastID] != nil {
		t.lastID++
	}
	return t.lastID
}

// findOpen returns the request if it is still owed an answer, else nil.
func (t *requestTable) findOpen(id policy.RequestID) *pendingRequest {
	if p := t.byID[id]; p != nil && !p.closed {
		return p
	}
	return nil
}

// hasClientID reports whether a pending request has this Request.ID.
func (t *requestTable) hasClientID(id string) bool {
	_, ok := t.clientIDs[id]
	return ok
}

// release updates the counts after a request was closed, and drops the fields that only an open one needs.
func (t *requestTable) release(p *pendingRequest) {
	t.open--
	t.bodyBytes -= len(p.Body)
	p.Body = nil
	p.Responder = nil
}

// removeIfDone removes a request that is closed and whose attempts have all ended. It may be called again for a request
// that is removed, as by AttemptEnded after respond has closed it. By then the entries may belong to a later request with
// the same id or Request.ID; they stay.
func (t *requestTable) removeIfDone(id policy.RequestID, p *pendingRequest) {
	if p.closed && p.openAttempts == 0 && t.byID[id] == p {
		delete(t.byID, id)
		delete(t.clientIDs, p.ID)
	}
}
