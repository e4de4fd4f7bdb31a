package discovery

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"

	"functionrouter/policy"
)

func TestLoadInitialAppliesEvents(t *testing.T) {
	var initial InitialEndpoints
	err := json.Unmarshal([]byte(`{"offset": 41, "batch": [
		{"offset": 39, "topology": {"revision": 6, "complete": true, "members": [
			{"id": "s-0", "host_port": "10.1.0.1:10080", "phase": "Ready"},
			{"id": "s-1", "host_port": "10.1.0.2:10080", "phase": "Ready"}]}},
		{"offset": 40, "topology": {"revision": 7, "complete": false, "members": [
			{"id": "s-1", "host_port": "10.1.0.2:10080", "phase": "Gone"},
			{"id": "s-00c41f7a", "host_port": "10.1.0.9:10080", "locality": "east", "flavor": "std",
				"cell": 2, "phase": "Terminating", "size": 4, "up_since_ms": 17}]}}]}`), &initial)
	if err != nil {
		t.Fatal(err)
	}
	var reported []Endpoint
	c := New("", nil, func(list []Endpoint) { reported = list })
	if err := c.LoadInitial(initial); err != nil {
		t.Fatal(err)
	}
	want := []Endpoint{
		{Name: "s-0", Address: "10.1.0.1:10080", State: policy.Ready},
		{Name: "s-00c41f7a", Address: "10.1.0.9:10080", Zone: "east", State: policy.Draining, Weight: 4, Cell: 2, StartedUnixMs: 17},
	}
	if !reflect.DeepEqual(reported, want) || c.list.serial != 41 || c.EndpointCount() != 2 {
		t.Errorf("got list %v with serial %d and count %d, want %v with serial 41 and count 2",
			reported, c.list.serial, c.EndpointCount(), want)
	}
}

func TestLoadInitialRejectsInvalidWorkers(t *testing.T) {
	load := func(member initialMember) error {
		initial := InitialEndpoints{Batch: make([]initialEvent, 1)}
		initial.Batch[0].Topology.Members = []initialMember{member}
		return New("", nil, func([]Endpoint) { t.Error("a list was reported, want none") }).LoadInitial(initial)
	}
	t.Run("unknown phase", func(t *testing.T) {
		if err := load(initialMember{HostPort: "10.1.0.1:10080", Phase: "Asleep"}); !errors.Is(err, errUnknownPhase) {
			t.Errorf("got error %v, want %v", err, errUnknownPhase)
		}
	})
	t.Run("address without a port", func(t *testing.T) {
		if err := load(initialMember{HostPort: "10.1.0.1", Phase: "Ready"}); err == nil {
			t.Error("got no error for an address without a port")
		}
	})
}

// Routers of different versions exchange worker ids by gossip, so the hash function must not change.
func TestEndpointIDIsTheHashOfTheName(t *testing.T) {
	if got, want := (Endpoint{Name: "s-00c41f7a"}).ID(), policy.WorkerID(0x31dedea5b2c6c47d); got != want {
		t.Errorf("got %#x, want %#x", uint64(got), uint64(want))
	}
}

// Guards against a worker whose attributes can't be read and are assumed: a cell of 0 allows a repeat in another cell, and
// a start of 0 means that the worker takes its full load.
func TestListWithInvalidAttributeIsNotApplied(t *testing.T) {
	for _, text := range []string{"cell=", "cell=two", "cell=-1", "started=0x5", "started=99999999999999999999", "cell"} {
		t.Run(text, func(t *testing.T) {
			_, r, err := parseResponse(buildResponse(1, 9, 0))
			if err != nil {
				t.Fatal(err)
			}
			target := r.services[0].target
			r.texts[target] = append(r.texts[target], text)
			list := newEndpointList()
			if changed, err := list.update(r); changed || !errors.Is(err, errMalformed) || list.serial != 0 {
				t.Errorf("changed: %v, want false; error %v, want %v; serial %d, want 0", changed, err, errMalformed, list.serial)
			}
		})
	}
}
