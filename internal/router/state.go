package router

import "functionrouter/policy"

// State gives the sizes of the state that the Router and its policy keep. All of them return to a low level when no
// requests are open, Runs some time later; one that only grows shows state that some order of events leaves without an end.
type State struct {
	OpenRequests    int // requests that have neither been answered nor cancelled
	PendingRequests int // open requests, and closed ones with attempts that have not ended
	ControlCalls    int // load commands and health checks that have no answer yet
	Timers          int
	Runs            int // ended requests of which it is remembered that they may have run
	Policy          policy.State
}

// State returns the present sizes. Call it between calls of the Router's other methods.
func (r *Router) State() State {
	return State{
		OpenRequests:    r.requests.open,
		PendingRequests: len(r.requests.byID),
		ControlCalls:    len(r.controls.byID),
		Timers:          len(r.timers.heap),
		Runs:            r.runs.len(),
		Policy:          r.policy.State(),
	}
}
