package router

import "time"

// BeginShutdown moves the deadline of every request to latest if it is later than that, of open requests and of those
// that are submitted from now on: the process may be killed soon after.
//
// The policy is not told that the deadline of an open request has moved. If it still is open at latest, enforceDeadline
// ends it, and it counts as overdue. Of a request that is submitted later, the policy gets the bounded time.
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

// StopAdmitting makes Submit refuse every request from now on, because the process is about to end.
func (r *Router) StopAdmitting() { r.admissionStopped = true }

// limitDeadline returns the deadline of a new request that asks for this one.
func (r *Router) limitDeadline(deadline time.Duration) time.Duration {
	if r.latestDeadline == 0 {
		return deadline
	}
	return min(deadline, r.latestDeadline)
}
