package main

import (
	"slices"

	"functionrouter/internal/discovery"
	"functionrouter/policy"
)

// updateEndpoints is the directory client's callback for a new endpoint list, which it passes to the router and then to the
// pool. The order matters: attempts that the pool ends because of the list are retried by this list, not by the one
// before. The start times come first, since policyEndpoint reads them.
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

// policyEndpoint converts an endpoint to the policy's form. Its start must be in s.startTimes.
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

// zoneIndex returns the position of a zone in the settings. An unknown zone counts as the first.
func (s *server) zoneIndex(zone string) int {
	return max(slices.Index(s.cfg.transport.FailureDomains, zone), 0)
}
