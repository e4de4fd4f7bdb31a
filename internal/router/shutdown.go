package router

import "time"

// BeginShutdown limits the deadlines of all open requests, and of all requests that are submitted afterwards, to
// latest, because the process may be killed soon after that time.
//
// The policy does not learn that the deadline of an open request has moved. If the request is still open at latest,
// enforceDeadline ends it and counts it in Counters.Overdue. For a request that is submitted afterwards, the policy
// gets the limited deadline.
func (r *Router) BeginShutdown(now, latest time.Duration) {
	r.SetNow(now)
	r.latestDeadline = latest
	for id, p := range r.requests.byID {
		if !p.closed && p.Deadline > latest {
			p.Deadline = latest
			r.timers.schedule(latest, timer{kind: requestDeadline, attempt: AttemptID{Request: id}})
		}
	}
}

// StopAdmitting makes Submit refuse all further requests, because the process is about to end.
func (r *Router) StopAdmitting() { r.admissionStopped = true }
