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

// testClient is a Client on fake transports. It keeps the list that was reported last.
type testClient struct {
	*Client
	t          *testing.T
	transports []*testsupport.Transport
	addresses  []string // that were dialed, in order
	reported   []Endpoint
}

// newTestClient returns a client with an initial list of one worker and serial 3, and an open socket.
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

// lastTransport returns the transport that was dialed last.
func (c *testClient) lastTransport() *testsupport.Transport {
	return c.transports[len(c.transports)-1]
}

// sendQuery polls the client when its next sendQuery is due, checks the sendQuery and returns its id.
func (c *testClient) sendQuery() uint16 {
	c.t.Helper()
	transport := c.lastTransport()
	transport.Written.Reset()
	c.Poll(c.nextPoll)
	b := transport.Written.Bytes()
	if len(b) < headerLength {
		c.t.Fatalf("query %x", b)
	}
	id := binary.BigEndian.Uint16(b)
	if want := encodeQuery(id); !bytes.Equal(b, want) {
		c.t.Fatalf("query %x, want %x", b, want)
	}
	return id
}

// wantReported checks the list that was reported last.
func (c *testClient) wantReported(want []Endpoint) {
	c.t.Helper()
	if !reflect.DeepEqual(c.reported, want) {
		c.t.Fatalf("list %v, want %v", c.reported, want)
	}
}

// receiveTwoWorkers has the client receiveTwoWorkers a list of two workers with serial 4, and returns that list.
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
