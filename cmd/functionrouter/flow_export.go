package main

import (
	"log/slog"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/ipfix"
	"functionrouter/internal/router"
)

// flowExportFile is the default configuration file of the export of flow records (RFC 7011). flowExportVariable
// overrides it.
const flowExportFile = "deploy/ipfix.toml"

// addFlowExport enables the export if the file at path says so. The exporter opens its socket in the first call of
// Process.
func (x *extensions) addFlowExport(path string) error {
	file, err := ipfix.ReadConfig(path)
	if err != nil {
		return err
	}
	if !file.Enabled {
		return nil
	}
	x.exporter = ipfix.New(file, time.Now, func(h eventloop.DialHandler) ipfix.Transport {
		return x.loop.DialUDP(file.Collector, h)
	})
	slog.Info("flow export enabled", "collector", file.Collector)
	return nil
}

// exportFlow adds a record of a request that ended at now on the loop's clock. The times in the record are wall-clock
// times.
func (x *extensions) exportFlow(now time.Duration, r *router.Request) {
	end := time.Now()
	x.exporter.Add(ipfix.Flow{
		Client: r.ClientAddr,
		Server: x.frontendAddrs[r.Frontend],
		Start:  end.Add(r.ReceivedAt - now),
		End:    end,
		Octets: uint64(len(r.Body)),
		Class:  x.cfg.transport.Classes[r.Class].Name,
	})
}

// logFlowExportCounters logs the counters of flow records and of the messages that carry them.
func logFlowExportCounters(c *ipfix.Counters) {
	slog.Info("flow export counters", "records", c.Records, "sent", c.Sent, "dropped", c.Dropped, "messages", c.Messages)
}
