// Package webhook is an optional frontend: it takes requests as signed webhook deliveries over HTTP/1.1, and sends
// signed notices of how orders ended, both by the Standard Webhooks specification (https://www.standardwebhooks.com).
//
// # Terms
//
// An HTTP request is what arrives on a connection. A delivery is an HTTP request whose signature was verified; its
// webhook-id identifies it, and any number of redeliveries may carry the same one. A request is what a delivery asks for:
// the router gets it once, and the outcome of the first delivery is the HTTP response to each redelivery. An order is a
// request that must never run twice, whatever the client and the machine do. A notice tells the outside how an order
// ended; each send of it is an attempt, as in the retries of a request.
//
// # The way of a delivery
//
//   - connection.OnData receives bytes and cuts them into HTTP requests (connection.go, http_request.go).
//   - Receiver.handle checks target, method and signature (receiver.go, signature.go), and answers a redelivery from the
//     deduplicator (deduplication.go).
//   - Receiver.parsePayload turns the payload of a first delivery into a router.Request (payload.go).
//   - Receiver.admit hands the request to RequestRouter.Submit: an order's after the ledger has recorded it (ledger.go).
//   - responder.Respond gets the router's final answer, records it and answers all connections that wait (responder.go).
//
// # The states of an order
//
// The ledger, a write-ahead log on the disk, records the states "begun", "ended" and "freed". What a crash leaves of
// each:
//
//   - Being recorded: its "begun" entry waits for the disk, and no worker has the order. If the entry is not on the disk
//     after a crash, the next delivery is a first one and runs the order. If it is, the order counts as begun. If the
//     entry can't be written, the order is refused with 503, and the next delivery is a first one.
//   - Begun: the "begun" entry has been synced, and the router has the order. After a crash the order may have run:
//     redeliveries get 502, and it never runs again.
//   - Ended: the outcome is kept and its "ended" entry written, without a sync. Redeliveries get the outcome, also after
//     a crash. If the crash loses the entry, the order counts as begun.
//   - Freed: it is proven that the order never ran, and its "freed" entry is written, without a sync. The next delivery
//     is a first one, also after a crash. If the crash loses the entry, the order counts as begun.
//   - Expired: its event is older than the ledger's retention. Receiver.Sweep and the ledger's compaction remove it. A
//     delivery that comes so late is refused with 400, so that it does not run again.
//
// Requests that are not orders are remembered in memory alone, and forgotten at a crash. Notices that have not been
// delivered are lost at a crash.
//
// # Errors
//
// Each reason to refuse an HTTP request is a sentinel error, which statusOf maps to the response's status. A refused HTTP
// request has no effect: no worker gets anything of it. A setting that can't be used is a *settingError.
//
// # Units, ownership, goroutine
//
// Times in payloads are milliseconds, those in HTTP headers seconds; in the code they are time.Durations. Points in time
// are durations on the event loop's clock, except those that cross a restart or the wire (events, signatures, retirement
// of keys): they are time.Times on the wall clock.
//
// The bytes that a connection receives are copied, and belong to the connection. The buffers that are written belong to
// the Transport from then on.
//
// A Receiver and a Sender belong to the event loop's goroutine: all their methods are called there. The only other
// goroutine is the ledger's writer, which NewReceiver starts and Receiver.Close ends.
package webhook
