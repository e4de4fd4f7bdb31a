package main

import (
	"fmt"
	"log/slog"

	"functionrouter/internal/discovery"
)

// endpointLog logs the differences between successive endpoint lists. Whenever one worker changes, the directory sends
// the list of all workers; logging each list in full would make the other log messages hard to find.
type endpointLog struct {
	lastList map[string]discovery.Endpoint // the last list, by worker name; nil before the first list
}

// record logs one message for each endpoint that list adds or changes, in the order of list, then one for each endpoint
// of the last list that is missing from list, and one for the list itself.
func (l *endpointLog) record(list []discovery.Endpoint) {
	previousList := l.lastList
	l.lastList = make(map[string]discovery.Endpoint, len(list))
	changed := 0
	for _, e := range list {
		previousEndpoint, known := previousList[e.Name]
		delete(previousList, e.Name)
		l.lastList[e.Name] = e
		if known && previousEndpoint == e {
			continue
		}
		changed++
		slog.Info("endpoint updated", "worker", e.Name, "worker_id", fmt.Sprintf("%016x", uint64(e.ID())),
			"address", e.Address, "state", e.State, "weight", e.Weight,
			"started_unix_ms", e.StartedUnixMs)
	}
	for name, e := range previousList {
		slog.Info("endpoint removed", "worker", name, "address", e.Address)
	}
	slog.Info("endpoint list applied", "endpoints", len(list), "changed", changed, "removed", len(previousList))
}
