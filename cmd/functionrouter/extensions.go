package main

import (
	"errors"
	"io/fs"
	"log/slog"
	"net/netip"
	"os"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/frontend/webhook"
	"functionrouter/internal/ipfix"
	"functionrouter/internal/router"
)

// maxIdleInterval is the time after which extensions without pending work ask to be called again. Any long interval
// works.
const maxIdleInterval = time.Hour

// extensions holds the optional parts of the router besides the platform's frontend: the webhook receiver, the notice
// sender and the flow exporter. A part that is disabled is nil; on the platform, all three are disabled. All methods
// must be called on the event loop's goroutine.
type extensions struct {
	cfg  *config
	loop *eventloop.Loop

	receiver *webhook.Receiver // receives signed webhooks that carry requests
	sender   *webhook.Sender   // sends signed notices of how requests ended
	exporter *ipfix.Exporter   // exports flow records

	// frontendAddrs holds the listen addresses of the frontends router.Thrift and router.Webhook, for the flow records.
	frontendAddrs [2]netip.AddrPort
}

// newExtensions reads the configuration files of the extensions and adds the parts that they enable to the loop. The
// webhook frontend submits its requests to requestRouter. newExtensions fails if it can't use a file, or a key or
// ledger that a file names; the parts that it has already added then stay open.
func newExtensions(cfg *config, loop *eventloop.Loop, requestRouter webhook.RequestRouter) (*extensions, error) {
	x := &extensions{cfg: cfg, loop: loop}
	x.frontendAddrs[router.Thrift] = netip.MustParseAddrPort(cfg.Listen) // parseConfig has checked it
	if path := extensionFile(webhookVariable, webhookFile); path != "" {
		if err := x.addWebhooks(path, requestRouter); err != nil {
			return nil, err
		}
	}
	if path := extensionFile(flowExportVariable, flowExportFile); path != "" {
		if err := x.addFlowExport(path); err != nil {
			return nil, err
		}
	}
	return x, nil
}

// requestEnded is the callback for router.Config.OnRequestEnd. It queues a notice and a flow record if the sender and
// the exporter are enabled.
func (x *extensions) requestEnded(now time.Duration, r *router.Request, outcome router.RequestOutcome) {
	if x.sender != nil {
		x.notify(now, r, outcome)
	}
	if x.exporter != nil {
		x.exportFlow(now, r)
	}
}

// extensionFile returns the path of an extension's configuration file: the value of the environment variable, or
// defaultFile if the variable is not set. It returns "" if the variable is not set and defaultFile does not exist. If
// os.Stat fails for another reason, it returns defaultFile, so that the reader of the file reports the error.
func extensionFile(variable, defaultFile string) string {
	if path := operatorVariable(os.Getenv, variable); path != "" {
		return path
	}
	if _, err := os.Stat(defaultFile); errors.Is(err, fs.ErrNotExist) {
		return ""
	}
	return defaultFile
}

// process sends the notices and flow records that are due. It returns the latest time at which it must be called again.
func (x *extensions) process(now time.Duration) (next time.Duration) {
	next = now + maxIdleInterval
	if x.sender != nil {
		next = min(next, x.sender.Process(now))
	}
	if x.exporter != nil {
		next = min(next, x.exporter.Process(now))
	}
	return next
}

// sweep drops the results of webhooks that are too old to be delivered again.
func (x *extensions) sweep(now time.Duration) {
	if x.receiver != nil {
		x.receiver.Sweep(now)
	}
}

// openNotices returns how many notices have been neither delivered nor given up.
func (x *extensions) openNotices() int {
	if x.sender == nil {
		return 0
	}
	return x.sender.OpenNotices()
}

// close waits until the ledger is written to disk, and logs an error if that fails. It must be called after the loop
// has stopped, so that no further delivery can arrive. Flow records that have not been sent are dropped.
func (x *extensions) close() {
	if x.receiver == nil {
		return
	}
	if err := x.receiver.Close(); err != nil {
		slog.Error("webhook ledger not closed", "error", err)
	}
}

// logCounters logs the counters of the enabled parts, which count from the start of the process.
func (x *extensions) logCounters() {
	if x.receiver != nil {
		logWebhookCounters(&x.receiver.Counters)
	}
	if x.sender != nil {
		logNoticeCounters(&x.sender.Counters, x.sender.OpenNotices())
	}
	if x.exporter != nil {
		logFlowExportCounters(&x.exporter.Counters)
	}
}
