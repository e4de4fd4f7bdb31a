package router

import (
	"time"

	"functionrouter/policy"
)

// Submit adds a request to the table and returns its id. The policy gets the request during Process.
//
// Submit returns 0 if it has answered the request itself: with Refused because of a limit, a shutdown or a client that sends
// without a pause, or with Failed because a pending request has the same Request.ID.
func (r *Router) Submit(now time.Duration, req Request) policy.RequestID {
	r.SetNow(now)
	keepsUp := req.Input == nil || policy.MayAdmit(req.Input.UnreadFor())
	if r.admissionStopped || !keepsUp || !r.withinLimits(&req) {
		// A shutdown must complete even if clients keep sending, and the limits bound the memory use.
		r.RefuseAtOnce(now, req)
		return 0
	}
	r.Counters.Received[req.Frontend]++
	r.Counters.LongestInputWait = max(r.Counters.LongestInputWait, req.InputWait)
	if r.requests.hasExternalID(req.ID) {
		// Workers identify a request by this id. If two pending requests shared an id, a worker could answer one with
		// the result of the other. Which of the two the client means is unknown, so the later one fails.
		r.failAtOnce(req)
		return 0
	}
	earlierRun, hasRun := r.runs.find(r.now, req.ID)
	if hasRun && earlierRun.class != req.Class {
		r.Counters.ReturnedIDs++
		r.failAtOnce(req) // the settings say nothing of a request that comes again with another class
		return 0
	}
	req.ReceivedAt = r.now
	req.Deadline = r.limitDeadline(&req)
	id, p := r.requests.add(req)
	arrival := policy.RequestArrived{
		Request:     id,
		Class:       req.Class,
		Tenant:      req.Tenant,
		Function:    req.Function,
		Concurrency: req.Concurrency,
		MemoryMB:    req.MemoryMB,
		LoadTime:    req.LoadTime,
		TimeLeft:    max(req.Deadline-r.now, 0),
	}
	if hasRun {
		r.Counters.ReturnedIDs++
		p.recordRun(earlierRun)
		arrival.EarlierRun = &policy.EarlierRun{Worker: earlierRun.worker, SentAt: earlierRun.sentAt}
	}
	p.arrival = r.events.add(arrival)
	return id
}

// failAtOnce answers a request with Failed. The policy gets no event for it.
func (r *Router) failAtOnce(req Request) {
	r.Counters.Failed[req.Frontend]++
	r.respondAtOnce(req, Response{Status: Failed})
}

// withinLimits reports whether the limits allow req, with its body, as one more open request. Requests that their clients
// have withdrawn count until their attempts have ended: where attempts can't be cancelled, a client could otherwise leave
// any number of them behind. A request that may have to be remembered after its end needs a place in the history.
func (r *Router) withinLimits(req *Request) bool {
	if r.runIsFinal(req.Class) && r.runs.full(r.now) {
		return false
	}
	return r.requests.notDone() < r.limits.MaxOpenRequests &&
		r.requests.bodyBytes+len(req.Body) <= r.limits.MaxBodyBytes
}

// RefuseAtOnce refuses a request because of a limit or a shutdown. The policy gets no event for the request.
func (r *Router) RefuseAtOnce(now time.Duration, req Request) {
	r.SetNow(now)
	r.Counters.Received[req.Frontend]++
	r.Counters.RefusedAtOnce[req.Frontend]++
	r.respondAtOnce(req, Response{Status: Refused, RetryAfter: r.limits.RetryAfter})
}

// respondAtOnce answers a request that is not added to the table. It calls Config.OnRequestEnd before
// Responder.Respond, unlike respond and Disconnect, which call it after Respond.
func (r *Router) respondAtOnce(req Request, resp Response) {
	req.ReceivedAt = r.now
	r.reportEnd(&req, resp.Status.outcome())
	req.Responder.Respond(resp)
}

// Cancel ends a request without an answer because its client has stopped waiting for one. It does nothing if the
// request has already ended.
func (r *Router) Cancel(now time.Duration, id policy.RequestID, cause CancelCause) {
	r.SetNow(now)
	p := r.requests.findOpen(id)
	if p == nil {
		return
	}
	r.Counters.ClientCancelled[p.Frontend]++
	if cause == ClientDisconnected {
		r.Counters.ClientDisconnected[p.Frontend]++
		r.noResultLog.record(r.now, p, RequestCancelled, cause.String())
	}
	r.close(id, p, RequestCancelled)
	r.tellPolicyOfEnd(id, p)
}

// Abandon tells the Router that the client of a request whose outcome its frontend keeps has disconnected. No further
// attempt begins. If no attempt has begun, Abandon cancels the request and returns true. Otherwise the request goes on until
// its attempt has ended, and is answered. Abandon also returns true if the request has already ended.
func (r *Router) Abandon(now time.Duration, id policy.RequestID) (ended bool) {
	r.SetNow(now)
	p := r.requests.findOpen(id)
	if p == nil {
		return true
	}
	p.abandoned = true
	r.cancelUnsentAttempts(id, p)
	if p.mayHaveRun() {
		return false
	}
	r.Cancel(now, id, ClientDisconnected)
	return true
}

// Resume takes back Abandon for a request that has not ended, because its client has connected again.
func (r *Router) Resume(id policy.RequestID) {
	if p := r.requests.findOpen(id); p != nil {
		p.abandoned = false
	}
}

// tellPolicyOfEnd queues the end of a request that the policy has not ended itself. If the policy has not got the arrival
// of the request, it takes back the arrival instead.
func (r *Router) tellPolicyOfEnd(id policy.RequestID, p *pendingRequest) {
	if p.known {
		r.events.add(policy.ClientCancelled{Request: id})
	} else {
		r.events.remove(p.arrival)
	}
}

// Disconnect ends a request whose client has closed its side of the connection. The Router can't tell whether the
// client still reads, so it writes an answer and then cancels the request with ClientDisconnected.
func (r *Router) Disconnect(now time.Duration, id policy.RequestID) {
	r.SetNow(now)
	p := r.requests.findOpen(id)
	if p == nil {
		return
	}
	p.Responder.Respond(Response{
		Status:     p.unservedStatus(),
		RetryAfter: r.limits.RetryAfter,
		MayHaveRun: p.mayHaveRun(),
	})
	r.Cancel(now, id, ClientDisconnected)
}

// endUnserved answers a request that the policy refused or failed, if it is still open.
func (r *Router) endUnserved(id policy.RequestID, reason policy.UnservedReason, resp Response) {
	p := r.requests.findOpen(id)
	if p == nil {
		return
	}
	r.Counters.UnservedByReason[reason]++
	if resp.Status == Failed {
		r.noResultLog.record(r.now, p, RequestFailed, reason.String())
	}
	r.respondUnserved(id, p, resp)
}

// respondUnserved answers a request that no worker served, and closes it.
func (r *Router) respondUnserved(id policy.RequestID, p *pendingRequest, resp Response) {
	resp.MayHaveRun = p.mayHaveRun()
	resp.DeadlineExceeded = r.now >= p.Deadline-deadlineTolerance
	r.respond(id, p, resp)
}

// respond gives an open request its final answer and then closes it. The request is still open during
// Responder.Respond: if Respond cancelled the request, the request would be closed twice. See Responder.
func (r *Router) respond(id policy.RequestID, p *pendingRequest, resp Response) {
	r.Counters.countResponse(p.Frontend, resp.Status)
	r.recordLateAnswer(p, resp.Status)
	p.Responder.Respond(resp)
	r.close(id, p, resp.Status.outcome())
}

// close marks a request as ended. It cancels the attempts of which no byte has been sent; attempts that have been sent
// continue until they end or are cancelled.
func (r *Router) close(id policy.RequestID, p *pendingRequest, outcome RequestOutcome) {
	p.closed = true
	r.cancelUnsentAttempts(id, p)
	r.reportEnd(&p.Request, outcome)
	r.requests.release(p)
	r.endIfDone(id, p)
}

// endIfDone marks a request as done if it is closed and has no open attempts, and remembers whether it may have run.
func (r *Router) endIfDone(id policy.RequestID, p *pendingRequest) {
	if r.requests.markIfDone(id, p) && p.endedAttemptMayHaveRun && r.runIsFinal(p.Class) {
		r.runs.add(r.now, p.ID, p.firstRun)
	}
}

// runIsFinal reports whether a request of the class that may have run must not run again at will.
func (r *Router) runIsFinal(class int) bool {
	return class < len(r.limits.RunsAreFinal) && r.limits.RunsAreFinal[class]
}

// reportEnd calls Config.OnRequestEnd if it is set.
func (r *Router) reportEnd(req *Request, outcome RequestOutcome) {
	if r.onRequestEnd != nil {
		r.onRequestEnd(r.now, req, outcome)
	}
}
