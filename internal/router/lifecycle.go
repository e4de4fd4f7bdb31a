package router

import (
	"time"

	"functionrouter/policy"
)

// Submit takes a request. It returns the request's id, or 0 if it was answered at once, before Submit returns: Refused
// for a limit or a shutdown, Failed if a pending request has the same Request.ID. The policy gets the request from Process.
func (r *Router) Submit(now time.Duration, req Request) policy.RequestID {
	r.SetNow(now)
	if r.admissionStopped || !r.withinLimits(&req) {
		// A shutdown must end although clients go on sending, and the memory is bounded.
		r.RefuseAtOnce(now, req)
		return 0
	}
	r.Counters.Received[req.Frontend]++
	if r.requests.hasClientID(req.ID) {
		// Workers identify a request by this id: of two requests with one id, a worker could answer one with the
		// result of the other. Which of the two the client means is unknown, so the later one fails.
		r.Counters.Failed[req.Frontend]++
		r.respondAtOnce(req, Response{Status: Failed})
		return 0
	}
	req.ReceivedAt = r.now
	req.Deadline = r.limitDeadline(req.Deadline)
	id := r.requests.add(req)
	r.events.add(policy.RequestArrived{
		Request:     id,
		Class:       req.Class,
		Tenant:      req.Tenant,
		Function:    req.Function,
		Concurrency: req.Concurrency,
		MemoryMB:    req.MemoryMB,
		LoadTime:    req.LoadTime,
		TimeLeft:    max(req.Deadline-r.now, 0),
	})
	r.timers.schedule(req.Deadline, timer{kind: requestDeadline, attempt: AttemptID{Request: id}})
	return id
}

// withinLimits reports whether the limits allow one more open request, with its body.
func (r *Router) withinLimits(req *Request) bool {
	return r.requests.open < r.limits.MaxOpenRequests &&
		r.requests.bodyBytes+len(req.Body) <= r.limits.MaxBodyBytes
}

// RefuseAtOnce refuses a request because of a limit or a shutdown, without an event for the policy.
func (r *Router) RefuseAtOnce(now time.Duration, req Request) {
	r.SetNow(now)
	r.Counters.Received[req.Frontend]++
	r.Counters.RefusedAtOnce[req.Frontend]++
	r.respondAtOnce(req, Response{Status: Refused, RetryAfter: r.limits.RetryAfter})
}

// respondAtOnce answers a request that does not enter the table. Here Config.OnRequestEnd is called before Respond, in
// respond and Disconnect after it.
func (r *Router) respondAtOnce(req Request, resp Response) {
	req.ReceivedAt = r.now
	r.reportEnd(&req, resp.Status.outcome())
	req.Responder.Respond(resp)
}

// Cancel ends a request without an answer, because its client no longer waits for one. It does nothing if the request
// has ended.
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
	r.events.add(policy.ClientCancelled{Request: id})
}

// Disconnect ends a request whose client has ended its side of the connection. Whether the client still reads is unknown:
// it gets an answer in case it does, and the request is cancelled as if it did not.
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

// respond gives an open request its final answer and then closes it. The request is still open during Respond: a
// Responder that cancelled it there would have it closed twice, see Responder.
func (r *Router) respond(id policy.RequestID, p *pendingRequest, resp Response) {
	r.Counters.countResponse(p.Frontend, resp.Status)
	p.Responder.Respond(resp)
	r.close(id, p, resp.Status.outcome())
}

// close marks a request as ended. Attempts that are still on their way to a worker go on until they end or are
// cancelled; those of which nothing has been sent are cancelled here.
func (r *Router) close(id policy.RequestID, p *pendingRequest, outcome RequestOutcome) {
	p.closed = true
	r.cancelUnsentAttempts(id, p)
	r.reportEnd(&p.Request, outcome)
	r.requests.release(p)
	r.requests.removeIfDone(id, p)
}

// reportEnd calls Config.OnRequestEnd where it is set.
func (r *Router) reportEnd(req *Request, outcome RequestOutcome) {
	if r.onRequestEnd != nil {
		r.onRequestEnd(r.now, req, outcome)
	}
}
