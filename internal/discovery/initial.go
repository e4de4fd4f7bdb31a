package discovery

import (
	"errors"
	"fmt"
	"net/netip"

	"functionrouter/policy"
)

// errUnknownPhase means that a worker of the initial list has a phase that parsePhase does not accept.
var errUnknownPhase = errors.New("unknown phase")

// InitialEndpoints is the initial list in the form of the configuration: a sequence of directory events. Usually the
// first event holds the complete list, and each later event holds the workers that changed.
type InitialEndpoints struct {
	Offset uint32         `json:"offset"` // number of the last event, which may be missing from Batch
	Batch  []initialEvent `json:"batch"`
}

// initialEvent is one event of the directory: the complete list of workers, or only the workers that changed.
type initialEvent struct {
	Offset   uint32 `json:"offset"` // number of the event
	Topology struct {
		Complete bool            `json:"complete"` // Members is the complete list
		Members  []initialMember `json:"members"`
	} `json:"topology"`
}

// initialMember is one worker in an event. The comments of Endpoint's fields explain the values.
type initialMember struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"` // IP address and port
	Locality  string  `json:"locality"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"` // see parsePhase
	Size      float64 `json:"size"`
	UpSinceMs int64   `json:"up_since_ms"` // Unix time in milliseconds
}

// endpoint converts the member to an Endpoint. It fails with errUnknownPhase if the phase is unknown, or with an error
// of netip if HostPort is not an IP address and a port. Host names are not resolved.
func (m initialMember) endpoint() (Endpoint, error) {
	if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
		return Endpoint{}, err
	}
	state, err := parsePhase(m.Phase)
	if err != nil {
		return Endpoint{}, err
	}
	return Endpoint{
		Name:          m.ID,
		Address:       m.HostPort,
		Zone:          m.Locality,
		State:         state,
		Weight:        m.Size,
		Cell:          m.Cell,
		StartedUnixMs: m.UpSinceMs,
	}, nil
}

// parsePhase converts a phase, the configuration's name for a worker's state. It fails with errUnknownPhase.
func parsePhase(phase string) (policy.WorkerState, error) {
	switch phase {
	case "Ready":
		return policy.Ready, nil
	case "Terminating":
		return policy.Draining, nil
	case "Gone":
		return policy.Gone, nil
	}
	return 0, fmt.Errorf("%w %q", errUnknownPhase, phase)
}
