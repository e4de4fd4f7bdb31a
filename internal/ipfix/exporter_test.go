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

// An independent decoder reads all added records in their order. The messages contain the templates that it needs, and
// each sequence number is the number of records in earlier messages.
func TestCollectorDecodesAddedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		exporter, transport := newTestExporter()
		now := time.Hour
		collector := &testCollector{templates: netflow.CreateTemplateSystem()}
		var added []string
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "n") {
					f := drawFlow(t)
					exporter.Add(f)
					added = append(added, formatRecord(
						f.Client.Addr().AsSlice(), f.Server.Addr().AsSlice(), f.Octets, []byte(f.Class)))
				}
			},
			"send": func(t *rapid.T) {
				if len(added)-len(collector.records) > maxPendingRecords {
					t.Skip("some records were dropped")
				}
				now += flushInterval
				exporter.Process(now)
				for transport.Written.Len() > 0 {
					collector.read(t, &transport.Written)
				}
				if got := collector.records; fmt.Sprint(got) != fmt.Sprint(added) {
					t.Fatalf("the collector read %d records, want the %d added ones in order; the first one read is %v",
						len(got), len(added), got[:min(1, len(got))])
				}
			},
		})
	})
}

func drawFlow(t *rapid.T) Flow {
	octets := rapid.Uint64Range(0, 1<<14).Draw(t, "octets")
	class := rapid.SampledFrom([]string{"dim-level", "repair-order", ""}).Draw(t, "class")
	if rapid.Bool().Draw(t, "ipv6") {
		return testFlow("[::1]:4000", "[::2]:10080", octets, class)
	}
	return testFlow("127.0.0.9:4000", "127.0.0.1:10080", octets, class)
}

// formatRecord formats the fields of a record that the tests compare.
func formatRecord(client, server []byte, octets uint64, class []byte) string {
	return fmt.Sprintf("%x %x %d %q", client, server, octets, class)
}

// testCollector decodes messages with the decoder of goflow2.
type testCollector struct {
	templates netflow.NetFlowTemplateSystem
	records   []string // in the form of formatRecord
}

// read removes one message from written and decodes it.
func (c *testCollector) read(t *rapid.T, written *bytes.Buffer) {
	t.Helper()
	size := int(written.Bytes()[2])<<8 | int(written.Bytes()[3])
	if size > maxMessageBytes {
		t.Fatalf("the message has %d bytes, want at most %d", size, maxMessageBytes)
	}
	var p netflow.IPFIXPacket
	err := netflow.DecodeMessageVersion(bytes.NewBuffer(written.Next(size)), c.templates, nil, &p)
	if err != nil {
		t.Fatal(err)
	}
	if p.ObservationDomainId != testDomain || p.SequenceNumber != uint32(len(c.records)) ||
		p.ExportTime != uint32(noon.Unix()) {
		t.Fatalf("header %+v, want the domain %d, the sequence number %d and the export time %d",
			p, testDomain, len(c.records), noon.Unix())
	}
	for _, set := range p.FlowSets {
		data, ok := set.(netflow.DataFlowSet)
		if !ok {
			continue
		}
		for _, r := range data.Records {
			c.records = append(c.records, formatDataRecord(r))
		}
	}
}

// formatDataRecord formats a decoded record like formatRecord.
func formatDataRecord(r netflow.DataRecord) string {
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
	return formatRecord(client, server, octets, values[applicationName])
}

// The number of pending records is limited, and dropped records are counted.
func TestPendingRecordsAreBounded(t *testing.T) {
	exporter := New(&Config{}, func() time.Time { return noon },
		func(eventloop.DialHandler) Transport { return &testsupport.Transport{} })
	for range maxPendingRecords + 5 {
		exporter.Add(testFlow("127.0.0.9:1", "127.0.0.1:2", 0, ""))
	}
	if exporter.Counters.Dropped != 5 || len(exporter.pending) != maxPendingRecords {
		t.Errorf("%d records are pending, want %d; counters %+v, want 5 dropped",
			len(exporter.pending), maxPendingRecords, exporter.Counters)
	}
}

// A flow whose addresses are of different families or invalid fits no template and is dropped.
func TestFlowsWithoutATemplateAreDropped(t *testing.T) {
	exporter, _ := newTestExporter()
	exporter.Add(Flow{})
	exporter.Add(testFlow("127.0.0.9:1", "[::2]:2", 0, ""))
	if want := (Counters{Records: 2, Dropped: 2}); exporter.Counters != want {
		t.Errorf("counters %+v, want %+v", exporter.Counters, want)
	}
}

// If the socket can't be opened or fails, the exporter opens another one after redialDelay. The first message on the
// new socket contains the templates.
func TestSocketIsReopened(t *testing.T) {
	errRefused := errors.New("refused")
	dials := 0
	transport := &testsupport.Transport{}
	exporter := New(&Config{}, func() time.Time { return noon }, func(eventloop.DialHandler) Transport {
		dials++
		return transport
	})
	now := time.Hour
	for _, step := range []struct {
		name string
		fail func(error)
	}{
		{"the dial fails", exporter.OnOpen},
		{"the socket fails", func(err error) { exporter.OnOpen(nil); exporter.OnClose(err) }},
		{"the socket is closed", func(error) { exporter.OnOpen(nil); exporter.OnClose(nil) }},
	} {
		t.Run(step.name, func(t *testing.T) {
			dials = 0
			exporter.Process(now)
			step.fail(errRefused)
			if next := exporter.Process(now + redialDelay - 1); dials != 1 || next != now+redialDelay {
				t.Errorf("%d dials, the next at %v; want 1, the next at %v", dials, next, now+redialDelay)
			}
			now += redialDelay
		})
	}
	exporter.Process(now)
	exporter.OnOpen(nil)
	exporter.Add(testFlow("127.0.0.9:1", "127.0.0.1:2", 0, ""))
	now += flushInterval
	exporter.Process(now)
	if setID := transport.Written.Bytes()[messageHeaderBytes+1]; setID != templateSetID {
		t.Errorf("the first message on a new socket begins with set %d, want the templates (set %d)",
			setID, templateSetID)
	}
}
