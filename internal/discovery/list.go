package discovery

import (
	"fmt"
	"slices"
	"strings"

	"functionrouter/policy"
)

// endpointList is the newest list of workers.
type endpointList struct {
	serial    uint32              // number of the last directory event that the list includes
	endpoints map[string]Endpoint // by name; none has the state Gone
}

// newEndpointList returns an empty list with serial 0. Any list with a serial above 0 replaces it.
func newEndpointList() endpointList { return endpointList{endpoints: map[string]Endpoint{}} }

// loadInitial applies the events of the configuration in order. After an error the list is incomplete.
func (l *endpointList) loadInitial(initial InitialEndpoints) error {
	for _, event := range initial.Batch {
		if event.Topology.Complete {
			clear(l.endpoints)
		}
		for _, member := range event.Topology.Members {
			endpoint, err := member.endpoint()
			if err != nil {
				return fmt.Errorf("known: worker %q: %w", member.ID, err) // "known" is the setting's name
			}
			l.apply(endpoint)
		}
		l.serial = max(l.serial, event.Offset)
	}
	l.serial = max(l.serial, initial.Offset)
	return nil
}

// apply adds or replaces one worker of an event in the list, or removes the worker if its state is Gone.
func (l *endpointList) apply(e Endpoint) {
	if e.State == policy.Gone {
		delete(l.endpoints, e.Name)
	} else {
		l.endpoints[e.Name] = e
	}
}

// update replaces the list with the list of a response if the response has a higher serial, and reports whether it did.
// The new list may be empty. If a worker of a newer list has no address or an invalid attribute, update fails and
// changes nothing. If several workers have the same name, the last one is used.
func (l *endpointList) update(r response) (changed bool, err error) {
	if r.serial <= l.serial {
		return false, nil
	}
	endpoints := map[string]Endpoint{}
	for _, service := range r.services {
		endpoint, err := r.endpoint(service)
		if err != nil {
			return false, err
		}
		endpoints[endpoint.Name] = endpoint
	}
	l.serial = r.serial
	l.endpoints = endpoints
	return true, nil
}

// sorted returns a new slice with the workers, sorted by name.
func (l *endpointList) sorted() []Endpoint {
	list := make([]Endpoint, 0, len(l.endpoints))
	for _, e := range l.endpoints {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return list
}
