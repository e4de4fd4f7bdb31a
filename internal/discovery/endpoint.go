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

// srvWeightScale is the factor by which the weight of an SRV record, an integer, is larger than the worker's weight.
const srvWeightScale = 10

// Names in a worker's TXT record, whose strings are "name=value". Other names are ignored.
const (
	attributeCell    = "cell"    // Endpoint.Cell
	attributeStarted = "started" // Endpoint.StartedUnixMs
)

// errNoAddress says that a worker's SRV record has no address record to its target.
var errNoAddress = errors.New("no address record")

// Endpoint is one worker in the endpoint list.
type Endpoint struct {
	Name          string             // unique in the list
	Address       string             // IP address and port, "10.1.0.9:10080"
	Zone          string             // failure domain; "" if it is not known
	State         policy.WorkerState // Ready or Draining; the list has no workers that are gone
	Weight        float64            // size relative to other workers
	Cell          int                // group of workers that share the memory of idempotency keys; 0 if none is given
	StartedUnixMs int64              // Unix milliseconds at which its process started; 0: long ago, none is given
}

// ID returns the worker's id: the 64-bit FNV-1a hash of its name, so that it is the same at every router and survives
// restarts of the router and the worker.
func (e Endpoint) ID() policy.WorkerID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(e.Name)) // a hash.Hash never fails
	return policy.WorkerID(hash.Sum64())
}

// endpoint joins the records of one worker: its SRV record and those of the target. The first label of the target is the
// worker's name, the second its zone; a priority above 0 means that the worker drains. endpoint fails with errNoAddress if
// the target has no address record.
func (r response) endpoint(service serviceRecord) (Endpoint, error) {
	address, ok := r.addresses[service.target]
	if !ok {
		return Endpoint{}, fmt.Errorf("%w for %s", errNoAddress, service.target)
	}
	name, domain, _ := strings.Cut(service.target, ".")
	zone, _, _ := strings.Cut(domain, ".")
	e := Endpoint{
		Name:    name,
		Address: netip.AddrPortFrom(address, service.port).String(),
		Zone:    zone,
		State:   policy.Ready,
		Weight:  float64(service.weight) / srvWeightScale,
	}
	if service.priority > 0 {
		e.State = policy.Draining
	}
	for _, text := range r.texts[service.target] {
		e.setAttribute(text)
	}
	return e, nil
}

// setAttribute applies one string of a TXT record. A name that is not used and a value that is no integer are ignored.
func (e *Endpoint) setAttribute(text string) {
	name, value, _ := strings.Cut(text, "=")
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return
	}
	switch name {
	case attributeCell:
		e.Cell = int(number)
	case attributeStarted:
		e.StartedUnixMs = number
	}
}
