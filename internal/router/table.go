package router

import "functionrouter/policy"

// pendingRequest is a request that is open, or that is closed and whose end the policy may not have handled yet, or that
// has attempts that have not ended.
type pendingRequest struct {
	Request // Body, Responder and Input are nil once the request is closed

	attempts               []attempt // indexed by AttemptID.Number
	openAttempts           int       // number of attempts that have not ended
	endedAttemptMayHaveRun bool      // true if an attempt ended and its outcome does not prove that it never ran
	firstRun               run       // the first such attempt, also of an earlier request with the same ID
	closed                 bool      // the request was answered, or cancelled by the client
	abandoned              bool      // see Abandon
	arrival                eventPosition
	known                  bool // the policy has got the arrival of the request
	done                   bool // the request is closed, and all its attempts have ended; see requestTable
}

// mayHaveRun reports whether any attempt may have run or may still run: an open attempt, or one that ended without
// proof that it never ran.
func (p *pendingRequest) mayHaveRun() bool { return p.endedAttemptMayHaveRun || p.openAttempts > 0 }

// recordRun records that the request may have run.
func (p *pendingRequest) recordRun(r run) {
	if !p.endedAttemptMayHaveRun {
		p.firstRun = r
	}
	p.endedAttemptMayHaveRun = true
}

// unservedStatus returns the status of an answer without a result: Failed if the request may have run, Refused
// otherwise.
func (p *pendingRequest) unservedStatus() Status {
	if p.mayHaveRun() {
		return Failed
	}
	return Refused
}

// requestTable holds the pending requests.
//
// It holds every request that the policy knows: once the policy has got the arrival of a request, the request stays in
// the table until the policy has handled all events that followed (see removeDone). Whatever the policy still decides about the request by then finds it here, closed, and is
// reported back as ended. If the request were removed at once, a SendAttempt that the policy decides on before it handles
// the request's end would find nothing, and the policy would wait for the end of that attempt for ever.
type requestTable struct {
	byID        map[policy.RequestID]*pendingRequest
	externalIDs map[string]struct{} // the Request.ID of each pending request that is not done
	done        []policy.RequestID  // requests that the policy knows and that became done since the last removeDone
	lastID      policy.RequestID
	open        int // number of requests that are not closed
	bodyBytes   int // total size of the open requests' bodies
}

func newRequestTable() requestTable {
	return requestTable{byID: map[policy.RequestID]*pendingRequest{}, externalIDs: map[string]struct{}{}}
}

// add stores req as open under a new id.
func (t *requestTable) add(req Request) (policy.RequestID, *pendingRequest) {
	id := t.nextID()
	p := &pendingRequest{Request: req}
	t.byID[id] = p
	t.externalIDs[req.ID] = struct{}{}
	t.open++
	t.bodyBytes += len(req.Body)
	return id, p
}

// nextID returns an id that no pending request has. Ids ascend and wrap around after the largest value; 0 is skipped
// because it means "no request". An id is therefore reused after 2^32-1 ids, but never while its request is pending.
//
// A timer that remains from the earlier request with an id would act on the later one. This does not happen in
// practice: the timer fires within the earlier request's wait of some minutes, and a router does not receive 2^32-1
// requests in that time.
func (t *requestTable) nextID() policy.RequestID {
	t.lastID++
	for t.lastID == 0 || t.byID[t.lastID] != nil {
		t.lastID++
	}
	return t.lastID
}

// findOpen returns the open request with the given id, or nil if there is none.
func (t *requestTable) findOpen(id policy.RequestID) *pendingRequest {
	if p := t.byID[id]; p != nil && !p.closed {
		return p
	}
	return nil
}

// notDone returns the number of requests that are open or have attempts that have not ended.
func (t *requestTable) notDone() int { return len(t.byID) - len(t.done) }

// hasExternalID reports whether a pending request has the given Request.ID.
func (t *requestTable) hasExternalID(id string) bool {
	_, ok := t.externalIDs[id]
	return ok
}

// release updates the counts of open requests and body bytes for a request that has just been closed, and clears its
// Body, Responder and Input, which only an open request needs.
func (t *requestTable) release(p *pendingRequest) {
	t.open--
	t.bodyBytes -= len(p.Body)
	p.Body = nil
	p.Responder = nil
	p.Input = nil
}

// markIfDone marks a request as done if it is closed and has no open attempts, and reports whether it has. removeDone then
// removes it, or markIfDone does so at once if the policy does not know it. No further attempt is sent to a worker, so
// another request may have its Request.ID from then on. markIfDone may be called again for a request that is done.
func (t *requestTable) markIfDone(id policy.RequestID, p *pendingRequest) (isDone bool) {
	if p.done || !p.closed || p.openAttempts > 0 {
		return false
	}
	p.done = true
	delete(t.externalIDs, p.ID)
	if p.known {
		t.done = append(t.done, id)
	} else {
		delete(t.byID, id)
	}
	return true
}

// removeDone removes the requests that are done. It must be called only when the policy has handled all events and all
// its actions are executed.
func (t *requestTable) removeDone() {
	for _, id := range t.done {
		delete(t.byID, id)
	}
	t.done = t.done[:0]
}
