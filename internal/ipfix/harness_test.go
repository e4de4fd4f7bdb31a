package ipfix

import (
	"net/netip"
	"testing"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/testsupport"
)

// TestMain fixes the seed of the property tests, so that every run has the same result.
func TestMain(m *testing.M) { testsupport.RunWithFixedSeeds(m) }

// noon is the fixed time of the tests' wall clock.
var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// testDomain is the Observation Domain ID of the tests.
const testDomain = 7

// newTestExporter returns an exporter whose socket was opened at one hour on the event loop's clock.
func newTestExporter() (*Exporter, *testsupport.Transport) {
	transport := &testsupport.Transport{}
	exporter := New(&Config{Domain: testDomain}, func() time.Time { return noon },
		func(eventloop.DialHandler) Transport { return transport })
	exporter.Process(time.Hour)
	exporter.OnOpen(nil)
	return exporter, transport
}

// testFlow returns the flow of a request that was received one second before noon and ended at noon.
func testFlow(client, server string, octets uint64, class string) Flow {
	return Flow{
		Client: netip.MustParseAddrPort(client),
		Server: netip.MustParseAddrPort(server),
		Start:  noon.Add(-time.Second),
		End:    noon,
		Octets: octets,
		Class:  class,
	}
}
