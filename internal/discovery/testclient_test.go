package discovery

import (
	"bytes"
	"encoding/binary"
	"reflect"
	"testing"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/testsupport"
	"functionrouter/policy"
)

// testClient is a Client with fake transports. It records the transports, the dialed addresses and the last reported
// list.
type testClient struct {
	*Client
	t          *testing.T
	transports []*testsupport.Transport
	addresses  []string // the dialed addresses, in order
	reported   []Endpoint
}

// newTestClient returns a client that has an open socket and an initial list of one worker with serial 3.
func newTestClient(t *testing.T) *testClient {
	t.Helper()
	c := &testClient{t: t}
	dial := func(address string, _ eventloop.DialHandler) Transport {
		c.transports = append(c.transports, &testsupport.Transport{})
		c.addresses = append(c.addresses, address)
		return c.lastTransport()
	}
	c.Client = New("old", dial, func(list []Endpoint) { c.reported = list })
	initial := InitialEndpoints{Offset: 3, Batch: make([]initialEvent, 1)}
	initial.Batch[0].Topology.Complete = true
	initial.Batch[0].Topology.Members = []initialMember{{ID: "s-9", HostPort: "10.1.0.9:10080", Phase: "Ready", Size: 4}}
	if err := c.LoadInitial(initial); err != nil {
		t.Fatal(err)
	}
	if len(c.reported) != 1 {
		t.Fatalf("initial list %v, want one worker", c.reported)
	}
	c.Poll(time.Hour)
	c.socket.OnOpen(nil)
	return c
}

// lastTransport returns the transport of the last dial.
func (c *testClient) lastTransport() *testsupport.Transport {
	return c.transports[len(c.transports)-1]
}

// sendQuery polls the client at the time of its next query, checks the query and returns its id.
func (c *testClient) sendQuery() uint16 {
	c.t.Helper()
	transport := c.lastTransport()
	transport.Written.Reset()
	c.Poll(c.nextPoll)
	b := transport.Written.Bytes()
	if len(b) < headerLength {
		c.t.Fatalf("wrote %x, want a query of at least %d bytes", b, headerLength)
	}
	id := binary.BigEndian.Uint16(b)
	if want := encodeQuery(id); !bytes.Equal(b, want) {
		c.t.Fatalf("wrote the query %x, want %x", b, want)
	}
	return id
}

// wantReported fails the test unless the last reported list is want.
func (c *testClient) wantReported(want []Endpoint) {
	c.t.Helper()
	if !reflect.DeepEqual(c.reported, want) {
		c.t.Fatalf("reported list %v, want %v", c.reported, want)
	}
}

// receiveTwoWorkers answers the next query with a list of two workers and serial 4, checks that the list is reported
// and returns it.
func (c *testClient) receiveTwoWorkers() []Endpoint {
	c.t.Helper()
	c.socket.OnData(buildResponse(c.sendQuery(), 4, 0, 1))
	want := []Endpoint{
		{Name: "s-0", Address: "10.1.0.0:10080", Zone: "east", State: policy.Ready, Weight: 4, Cell: 2, StartedUnixMs: 5},
		{Name: "s-1", Address: "10.1.0.1:10080", Zone: "east", State: policy.Draining, Weight: 4, Cell: 2, StartedUnixMs: 5},
	}
	c.wantReported(want)
	return want
}
