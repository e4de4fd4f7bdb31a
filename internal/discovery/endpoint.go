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

// srvWeightScale is how many times the worker's weight the weight of its SRV record is, which must be an integer.
const srvWeightScale = 10

// errNoAddress says that a worker's SRV record has no address record to its target.
var errNoAddress = errors.New("no address record")

// Endpoint is one worker as the endpoint list has it.
type Endpoint struct {
	Name          string             // unique in the list
	Address       string             // IP address and port, "10.1.0.9:10080"
	Zone          string             // where it runs; "" if it is not known
	State         policy.WorkerState // Ready or Draining; the list has no workers that are gone
	Weight        float64            // size in comparison with other workers
	Cell          int                // group of workers; calls of some classes are deduplicated within it
	StartedUnixMs int64              // Unix milliseconds at which its process started, if that was late; else 0
}

// ID returns the worker's id: the FNV-1a hash of its name, so that it is the same at every router and survives
// restarts.
func (e Endpoint) ID() policy.WorkerID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(e.Name)) // a hash.Hash never fails
	return policy.WorkerID(hash.Sum64())
}

// endpoint joins the records of one worker. The first label of an SRV target is the worker's name, the second
// its zone; a priority above 0 means that the worker drains. It fails with errNoAddress if the target has no address
// record.
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

// setAttribute applies one "name=value" of a TXT record. A name that is not used and a value that is no integer are
// ignored.
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
		e.StartedUnixMs = number
	}
}
