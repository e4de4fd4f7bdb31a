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

// maxIdleInterval is when extensions that have nothing to do ask to be called again. Any long time serves.
const maxIdleInterval = time.Hour

// extensions are the optional parts beside the platform's frontend: receiver, sender and exporter. Each is nil if it is
// off, as all three are on the platform. All methods belong to the loop's goroutine.
type extensions struct {
	cfg  *config
	loop *eventloop.Loop

	receiver *webhook.Receiver // signed webhooks that carry requests
	sender   *webhook.Sender   // signed notices of how requests ended
	exporter *ipfix.Exporter   // flow records

	// frontendAddrs is where the frontends router.Thrift and router.Webhook listen, for the flow records.
	frontendAddrs [2]netip.AddrPort
}

// newExtensions reads the files of the extensions and adds the parts that they enable to the loop. The webhook frontend
// sends its requests to requestRouter. It fails if a file, or a key or ledger that a file names, can't be used; parts that
// it has added by then stay open.
func newExtensions(cfg *config, loop *eventloop.Loop, requestRouter webhook.RequestRouter) (*extensions, error) {
	x := &extensions{cfg: cfg, loop: loop}
	x.frontendAddrs[router.Thrift] = netip.MustParseAddrPort(cfg.Listen) // readConfig checked it
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

// requestEnded is the router's Config.OnRequestEnd: it queues a notice and a flow record, where these are on.
func (x *extensions) requestEnded(now time.Duration, r *router.Request, outcome router.RequestOutcome) {
	if x.sender != nil {
		x.notify(now, r, outcome)
	}
	if x.exporter != nil {
		x.exportFlow(now, r)
	}
}

// extensionFile returns the path of the file to read: the one that the variable names, or else the default, or "" if that
// does not exist. A default that can't be examined for another reason is returned too: its reader reports the error.
func extensionFile(variable, defaultFile string) string {
	if path := operatorVariable(os.Getenv, variable); path != "" {
		return path
	}
	if _, err := os.Stat(defaultFile); errors.Is(err, fs.ErrNotExist) {
		return ""
	}
	return defaultFile
}

// process sends the notices and flow records that are due. It returns when it must be called again at the latest.
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

// openNotices is how many notices have been neither delivered nor given up.
func (x *extensions) openNotices() int {
	if x.sender == nil {
		return 0
	}
	return x.sender.OpenNotices()
}

// close waits until the ledger is on disk, and logs an error of that. It must be called after the loop has stopped, so that
// no delivery arrives later. Flow records that have not been sent are dropped.
func (x *extensions) close() {
	if x.receiver == nil {
		return
	}
	if err := x.receiver.Close(); err != nil {
		slog.Error("webhook ledger not closed", "error", err)
	}
}

// logCounters logs the counters of the parts that are on, from the start of the process.
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
