package main

import (
	"slices"

	"functionrouter/internal/discovery"
	"functionrouter/policy"
)

// updateEndpoints is the directory client's callback for a new endpoint list. It passes the list to the router before
// the pool: the pool ends attempts because of the list, and the router must retry them with the new list. It updates
// the start times first, because policyEndpoint reads them.
func (s *server) updateEndpoints(list []discovery.Endpoint) {
	s.startTimes.update(list, s.loop.Now(), s.discovery.LastAnswerAt(), s.loop.TimeFromWallClock)
	update := policy.EndpointUpdate{Kind: policy.FullUpdate}
	for _, e := range list {
		update.Endpoints = append(update.Endpoints, s.policyEndpoint(e))
	}
	s.endpointLog.record(list)
	s.router.UpdateEndpoints(update)
	present := map[policy.WorkerID]bool{}
	for i, e := range update.Endpoints {
		present[e.Worker] = true
		s.pool.UpdateEndpoint(e.Worker, list[i].Address, e.State, e.StartedAt)
	}
	s.pool.RetainEndpoints(present)
}

// policyEndpoint converts an endpoint to the policy's type. The endpoint's start must already be in s.startTimes.
func (s *server) policyEndpoint(e discovery.Endpoint) policy.Endpoint {
	return policy.Endpoint{
		Worker:    e.ID(),
		State:     e.State,
		Weight:    e.Weight,
		StartedAt: s.startTimes.startedAt(e),
		Cell:      e.Cell,
		Zone:      s.zoneIndex(e.Zone),
	}
}

// zoneIndex returns the index of a zone in the settings. For an unknown zone it returns 0, the index of the first zone.
func (s *server) zoneIndex(zone string) int {
	return max(slices.Index(s.cfg.transport.FailureDomains, zone), 0)
}
