package ipfix

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/netsampler/goflow2/v2/decoders/netflow"
	"pgregory.net/rapid"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/testsupport"
)

// An independent decoder reads the records that were added, in the same sequence, with the templates that it needs and
// sequence numbers that count the records before.
func TestCollectorReadsWhatWasAdded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, transport := newTestExporter()
		now := time.Hour
		collector := &testCollector{templates: netflow.CreateTemplateSystem()}
		var added []string
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "n") {
					f := drawFlow(t)
					x.Add(f)
					added = append(added, describe(
						f.Client.Addr().AsSlice(), f.Server.Addr().AsSlice(), f.Octets, []byte(f.Class)))
				}
			},
			"send": func(t *rapid.T) {
				if len(added)-len(collector.records) > maxPendingRecords {
					t.Skip("dropped some")
				}
				now += flushInterval
				x.Process(now)
				for transport.Written.Len() > 0 {
					collector.read(t, &transport.Written)
				}
				if got := collector.records; fmt.Sprint(got) != fmt.Sprint(added) {
					t.Fatalf("read %d records, added %d; first %v", len(got), len(added), got[:min(1, len(got))])
				}
			},
		})
	})
}

func drawFlow(t *rapid.T) Flow {
	octets := rapid.Uint64Range(0, 1<<14).Draw(t, "octets")
	class := rapid.SampledFrom([]string{"dim-level", "repair-order", ""}).Draw(t, "class")
	if rapid.Bool().Draw(t, "six") {
		return testFlow("[::1]:4000", "[::2]:10080", octets, class)
	}
	return testFlow("127.0.0.9:4000", "127.0.0.1:10080", octets, class)
}

// describe returns the fields of a record that the tests compare.
func describe(client, server []byte, octets uint64, class []byte) string {
	return fmt.Sprintf("%x %x %d %q", client, server, octets, class)
}

// testCollector decodes messages with an independent decoder.
type testCollector struct {
	templates netflow.NetFlowTemplateSystem
	records   []string
}

// read takes one message off written.
func (c *testCollector) read(t *rapid.T, written *bytes.Buffer) {
	t.Helper()
	size := int(written.Bytes()[2])<<8 | int(written.Bytes()[3])
	if size > maxMessageBytes {
		t.Fatalf("a message of %d bytes", size)
	}
	var p netflow.IPFIXPacket
	err := netflow.DecodeMessageVersion(bytes.NewBuffer(written.Next(size)), c.templates, nil, &p)
	if err != nil {
		t.Fatal(err)
	}
	if p.ObservationDomainId != testDomain || p.SequenceNumber != uint32(len(c.records)) ||
		p.ExportTime != uint32(noon.Unix()) {
		t.Fatalf("header %+v, want sequence %d", p, len(c.records))
	}
	for _, set := range p.FlowSets {
		data, ok := set.(netflow.DataFlowSet)
		if !ok {
			continue
		}
		for _, r := range data.Records {
			c.records = append(c.records, describeRecord(r))
		}
	}
}

func describeRecord(r netflow.DataRecord) string {
	values := map[informationElement][]byte{}
	for _, f := range r.Values {
		values[informationElement(f.Type)], _ = f.Value.([]byte)
	}
	octets := uint64(0)
	for _, b := range values[octetDeltaCount] {
		octets = octets<<8 | uint64(b)
	}
	client := slices.Concat(values[sourceIPv4Address], values[sourceIPv6Address])
	server := slices.Concat(values[destinationIPv4Address], values[destinationIPv6Address])
	return describe(client, server, octets, values[applicationName])
}

// The records that wait for a collector are bounded, and those that are dropped are counted.
func TestPendingRecordsAreBounded(t *testing.T) {
	x := New(&Config{}, func() time.Time { return noon },
		func(eventloop.DialHandler) Transport { return &testsupport.Transport{} })
	for range maxPendingRecords + 5 {
		x.Add(testFlow("127.0.0.9:1", "127.0.0.1:2", 0, ""))
	}
	if x.Counters.Dropped != 5 || len(x.pending) != maxPendingRecords {
		t.Errorf("%d pending, counters %+v", len(x.pending), x.Counters)
	}
}

// Flows between addresses of two families, or without an address, have no template and are dropped.
func TestFlowsWithoutATemplateAreDropped(t *testing.T) {
	x, _ := newTestExporter()
	x.Add(Flow{})
	x.Add(testFlow("127.0.0.9:1", "[::2]:2", 0, ""))
	if want := (Counters{Records: 2, Dropped: 2}); x.Counters != want {
		t.Errorf("counters %+v, want %+v", x.Counters, want)
	}
}

// A socket that can't be opened or fails is opened again after a delay, and a new one gets the templates at once.
func TestSocketIsOpenedAgain(t *testing.T) {
	errRefused := errors.New("refused")
	dials := 0
	transport := &testsupport.Transport{}
	x := New(&Config{}, func() time.Time { return noon }, func(eventloop.DialHandler) Transport {
		dials++
		return transport
	})
	now := time.Hour
	for _, step := range []struct {
		name string
		fail func(error)
	}{
		{"the dial fails", x.OnOpen},
		{"the socket fails", func(err error) { x.OnOpen(nil); x.OnClose(err) }},
		{"the socket is closed", func(error) { x.OnOpen(nil); x.OnClose(nil) }},
	} {
		t.Run(step.name, func(t *testing.T) {
			dials = 0
			x.Process(now)
			step.fail(errRefused)
			if next := x.Process(now + redialDelay - 1); dials != 1 || next != now+redialDelay {
				t.Errorf("%d dials, the next at %v, want it at %v", dials, next, now+redialDelay)
			}
			now += redialDelay
		})
	}
	x.Process(now)
	x.OnOpen(nil)
	x.Add(testFlow("127.0.0.9:1", "127.0.0.1:2", 0, ""))
	now += flushInterval
	x.Process(now)
	if setID := transport.Written.Bytes()[messageHeaderBytes+1]; setID != templateSetID {
		t.Errorf("the first message of a new socket begins with set %d", setID)
	}
}
