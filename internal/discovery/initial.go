package discovery

import (
	"errors"
	"fmt"
	"net/netip"

	"functionrouter/policy"
)

// errUnknownPhase says that a worker of the initial list has a phase that parsePhase doesn't know.
var errUnknownPhase = errors.New("unknown phase")

// InitialEndpoints is the initial list as the configuration holds it: the directory's events so far, in their order.
// Usually the first holds the complete list, and later ones the workers that changed.
type InitialEndpoints struct {
	Offset uint32         `json:"offset"` // number of the last event, which need not be in Batch
	Batch  []initialEvent `json:"batch"`
}

// initialEvent is one event of the directory: a list of workers, or the workers that changed.
type initialEvent struct {
	Offset   uint32 `json:"offset"` // number of the event
	Topology struct {
		Complete bool            `json:"complete"` // Members are the complete list
		Members  []initialMember `json:"members"`
	} `json:"topology"`
}

// initialMember is one worker in an event; Endpoint explains the values.
type initialMember struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"` // IP address and port
	Locality  string  `json:"locality"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"` // see parsePhase
	Size      float64 `json:"size"`
	UpSinceMs int64   `json:"up_since_ms"` // Unix time
}

// endpoint converts a member of the configuration's list. It fails with errUnknownPhase, or with an error of netip if
// HostPort is not an IP address and a port: host names are not resolved.
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

// parsePhase maps the configuration's word for a worker's state. It fails with errUnknownPhase.
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
