package main

import (
	"log/slog"
	"net/netip"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/internal/frontend/webhook"
	"functionrouter/internal/router"
	"functionrouter/policy"
)

// webhookFile is the default configuration file of the webhook frontend and of the notices. webhookVariable overrides
// it.
const webhookFile = "deploy/webhook.toml"

// addWebhooks enables the webhook frontend and the notice sender, each if the file at path says so.
func (x *extensions) addWebhooks(path string, requestRouter webhook.RequestRouter) error {
	file, err := webhook.ReadConfig(path)
	if err != nil {
		return err
	}
	if file.Receiver.Enabled {
		if err := x.addReceiver(file, requestRouter); err != nil {
			return err
		}
	}
	if file.Sender.Enabled {
		dial := func(addr string, timeout time.Duration, h eventloop.DialHandler) webhook.Transport {
			return x.loop.Dial(addr, timeout, h)
		}
		if x.sender, err = webhook.NewSender(file, time.Now, dial); err != nil {
			return err
		}
	}
	return nil
}

// addReceiver enables the webhook frontend: it opens the ledger and adds a listener to the loop. The receiver treats
// the requests of each class that is not policy.Idempotent as orders, including classes that are idempotent only with a
// key.
func (x *extensions) addReceiver(file *webhook.Config, requestRouter webhook.RequestRouter) error {
	var classes []webhook.Class
	for i, class := range x.cfg.policy.Classes {
		classes = append(classes, webhook.Class{
			Name:          x.cfg.transport.Classes[i].Name,
			CarriesOrders: class.Idempotency != policy.Idempotent,
			MaxWait:       class.Deadline,
		})
	}
	receiver, err := webhook.NewReceiver(webhook.ReceiverOptions{
		File:           file,
		Router:         requestRouter,
		Classes:        classes,
		MaxReplayBytes: x.cfg.scaleToMemory(maxWebhookResultBytes),
		Now:            x.loop.Now,
		WallClock:      time.Now,
		RunOnLoop:      x.loop.Post,
	})
	if err != nil {
		return err
	}
	x.receiver = receiver
	x.frontendAddrs[router.Webhook] = netip.MustParseAddrPort(file.Receiver.Listen) // webhook.ReadConfig has checked it
	x.loop.Listen(file.Receiver.Listen, receiver.Accept)
	slog.Info("webhook frontend enabled", "listen", file.Receiver.Listen, "path", file.Receiver.Path,
		"ledger", file.Receiver.Ledger.Path)
	return nil
}

// notify queues a notice of how a request of any frontend ended, if its class is not idempotent. Requests of classes
// that are idempotent with a key cause no notice, although the webhook frontend records them as orders.
func (x *extensions) notify(now time.Duration, r *router.Request, outcome router.RequestOutcome) {
	if x.cfg.policy.Classes[r.Class].Idempotency == policy.NotIdempotent {
		x.sender.Notify(now, r, outcome)
	}
}

// logWebhookCounters logs the counters of webhook deliveries by how the receiver handled them.
func logWebhookCounters(c *webhook.Counters) {
	slog.Info("webhook counters", "deliveries", c.Deliveries, "unauthorized", c.Unauthorized, "malformed", c.Malformed,
		"replayed", c.Replayed, "joined", c.Joined, "ledger_refused", c.LedgerRefused)
}

// logNoticeCounters logs the counters of the notices by result, and the number of notices that have been neither
// delivered nor given up.
func logNoticeCounters(c *webhook.SenderCounters, open int) {
	slog.Info("notice counters", "queued", c.Queued, "dropped", c.Dropped, "delivered", c.Delivered,
		"retried", c.Retried, "given_up", c.Failed, "open", open)
}
