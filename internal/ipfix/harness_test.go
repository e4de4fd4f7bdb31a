package ipfix

import (
	"net/netip"
	"testing"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/testsupport"
)

// TestMain fixes the seed of the property tests, so that each run gives the same verdict.
func TestMain(m *testing.M) { testsupport.RunWithFixedSeeds(m) }

// noon is what the tests' wall clock shows.
var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

const testDomain = 7

// newTestExporter returns an exporter whose socket is open since an event loop's clock of an hour.
func newTestExporter() (*Exporter, *testsupport.Transport) {
	transport := &testsupport.Transport{}
	x := New(&Config{Domain: testDomain}, func() time.Time { return noon },
		func(eventloop.DialHandler) Transport { return transport })
	x.Process(time.Hour)
	x.OnOpen(nil)
	return x, transport
}

// testFlow returns the flow of a request that took the second until noon.
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
