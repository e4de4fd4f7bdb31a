package policy

// State gives the sizes of the state that the policy keeps for requests and for what their clients name.
type State struct {
	Requests         int // requests that are not finished, or have attempts in flight
	AttemptsInFlight int
	LoadCommands     int // load commands that have no answer yet
	Functions        int // functions that are known from requests
	Instances        int // entries for a function at a worker
}

// State returns the present sizes of the state.
func (p *Policy) State() State {
	s := State{Requests: len(p.requests), Functions: len(p.functions)}
	for _, w := range p.fleet {
		s.AttemptsInFlight += len(w.inFlight)
		s.LoadCommands += w.loadCommands
		s.Instances += len(w.instances)
	}
	return s
}
