package discovery

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"strconv"
	"strings"

	"functionrouter/policy"
)

// SRV weights are ten times the worker's weight.
const srvWeightScale = 10

var (
	errUnknownPhase = errors.New("unknown phase")
	errNoAddress    = errors.New("no address record")
)

// Endpoint is one worker as the directory knows it.
type Endpoint struct {
	Name    string
	Addr    string // IP address and port
	Zone    string
	State   policy.WorkerState
	Weight  float64 // size in comparison with other workers
	Cell    int
	Started int64 // Unix milliseconds of a late start, or 0
}

// ID returns the worker's id: the FNV-1a hash of its name, so that it is the same at every router and survives
// restarts.
func (e Endpoint) ID() policy.WorkerID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(e.Name)) // a hash.Hash never fails
	return policy.WorkerID(hash.Sum64())
}

// InitialEndpoints is the initial list as the configuration holds it: the directory's events so far, of
// which the first holds the complete list and later ones what changed.
type InitialEndpoints struct {
	Offset uint32         `json:"offset"` // number of the last event
	Batch  []initialEvent `json:"batch"`
}

type initialEvent struct {
	Offset   uint32 `json:"offset"`
	Topology struct {
		Complete bool            `json:"complete"` // Members are the whole list
		Members  []initialMember `json:"members"`
	} `json:"topology"`
}

type initialMember struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMs int64   `json:"up_since_ms"`
}

// endpoint converts a member of the configuration's list.
func (m initialMember) endpoint() (Endpoint, error) {
	if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
		return Endpoint{}, err
	}
	state, err := parsePhase(m.Phase)
	if err != nil {
		return Endpoint{}, err
	}
	return Endpoint{
		Name:    m.ID,
		Addr:    m.HostPort,
		Zone:    m.Locality,
		State:   state,
		Weight:  m.Size,
		Cell:    m.Cell,
		Started: m.UpSinceMs,
	}, nil
}

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

// endpoint joins the records of one worker. The first label of an SRV target is the worker's name, the second
// its zone; a priority above 0 means that it drains.
func (r response) endpoint(service serviceRecord) (Endpoint, error) {
	address, ok := r.addresses[service.target]
	if !ok {
		return Endpoint{}, fmt.Errorf("%w for %s", errNoAddress, service.target)
	}
	name, domain, _ := strings.Cut(service.target, ".")
	zone, _, _ := strings.Cut(domain, ".")
	e := Endpoint{
		Name:   name,
		Addr:   netip.AddrPortFrom(address, service.port).String(),
		Zone:   zone,
		State:  policy.Ready,
		Weight: float64(service.weight) / srvWeightScale,
	}
	if service.priority > 0 {
		e.State = policy.Draining
	}
	for _, text := range r.texts[service.target] {
		e.setAttribute(text)
	}
	return e, nil
}

// setAttribute applies one "name=value" of a TXT record; those that are unknown or can't be read are ignored.
func (e *Endpoint) setAttribute(text string) {
	name, value, _ := strings.Cut(text, "=")
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return
	}
	switch name {
	case "cell":
		e.Cell = int(number)
	case "started":
		e.Started = number
	}
}
