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

// srvWeightScale is the factor by which the directory multiplies a worker's weight to get the weight of its SRV record,
// which is an integer.
const srvWeightScale = 10

// Names of attributes in a worker's TXT record, whose strings have the form "name=value". Other names are ignored.
const (
	attributeCell    = "cell"    // Endpoint.Cell
	attributeStarted = "started" // Endpoint.StartedUnixMs
)

// errNoAddress means that a response has no address record for the target of a worker's SRV record.
var errNoAddress = errors.New("no address record")

// Endpoint is one worker in the endpoint list.
type Endpoint struct {
	Name          string             // unique in the list
	Address       string             // IP address and port, "10.1.0.9:10080"
	Zone          string             // failure domain; "" if unknown
	State         policy.WorkerState // Ready or Draining; workers that are gone are not in the list
	Weight        float64            // size relative to other workers
	Cell          int                // group of workers that share their record of idempotency keys; 0 if not given
	StartedUnixMs int64              // start of the process, in Unix milliseconds; 0 (not given) means long ago
}

// ID returns the worker's id: the 64-bit FNV-1a hash of its name. Every router computes the same id, and restarts of
// the router or the worker do not change it.
func (e Endpoint) ID() policy.WorkerID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(e.Name)) // Write of a hash.Hash never returns an error
	return policy.WorkerID(hash.Sum64())
}

// endpoint combines the records of one worker: its SRV record, and the address and TXT records of the SRV record's
// target. The first label of the target is the worker's name, the second is its zone. A priority above 0 means that the
// worker is draining. endpoint fails with errNoAddress if the target has no address record, and with errMalformed if an
// attribute in its TXT record is invalid.
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
		if err := e.setAttribute(text); err != nil {
			return Endpoint{}, err
		}
	}
	return e, nil
}

// setAttribute sets the field for one string of a TXT record. It ignores unknown names. It fails with errMalformed if
// the value is not a number: with an assumed value, the router could repeat a request in another cell, or send a worker
// that has just started its full load.
func (e *Endpoint) setAttribute(text string) error {
	name, value, _ := strings.Cut(text, "=")
	if name != attributeCell && name != attributeStarted {
		return nil
	}
	number, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return fmt.Errorf("%w: attribute %.64q", errMalformed, text)
	}
	if name == attributeCell {
		e.Cell = int(number)
	} else {
		e.StartedUnixMs = int64(number)
	}
	return nil
}
