package main

import (
	"fmt"
	"log/slog"

	"functionrouter/internal/discovery"
)

// endpointLog logs what a new endpoint list changes. Each change of one worker brings a list of all workers: logged
// whole, the lists would hide everything else in the log.
type endpointLog struct {
	lastList map[string]discovery.Endpoint // the last list, by the workers' names; nil before the first
}

// record logs a line for each endpoint that list adds or changes, in its order, then one for each that it lacks, and one
// for the list.
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
