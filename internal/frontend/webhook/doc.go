// Package webhook is an optional frontend: it takes requests as signed webhook deliveries over HTTP/1.1, and sends
// signed notices of how orders ended, both by the Standard Webhooks specification (https://www.standardwebhooks.com).
//
// # Terms
//
// An HTTP request is what arrives on a connection. A delivery is an HTTP request with the method and path that the
// Receiver serves; without a valid signature it is refused. Its webhook-id identifies it: a delivery with a webhook-id
// that is known is a redelivery, any other a first delivery. The type delivery holds what is known of a webhook-id.
//
// A request is what a first delivery asks the router for. Its outcome is the HTTP response to the first delivery and to
// each redelivery, unless the request was refused and proven never to have run: then the webhook-id is forgotten. An order
// is a request that must never run twice, whatever the client and the machine do. A notice tells a receiver outside the
// platform how an order ended; each send of it is an attempt of the notice, not of the order.
//
// # The way of a delivery
//
//   - connection.OnData receives bytes and cuts them into HTTP requests (connection.go, http_request.go).
//   - Receiver.handle checks target, method and signature (receiver.go, signature.go), and answers a redelivery from the
//     deduplicator (deduplication.go).
//   - Receiver.parsePayload turns the payload of a first delivery into a router.Request (payload.go).
//   - Receiver.admit hands the request to RequestRouter.Submit: an order's after the ledger has recorded it (ledger.go).
//   - responder.Respond gets the router's final answer, records it and answers all connections that wait (responder.go).
//     Each of them then handles what it has received meanwhile: Submit may be called again before Respond returns.
//
// # The states of an order
//
// The ledger, a write-ahead log on the disk, records the states begun, ended and released, the last as "freed". What a
// crash leaves of each:
//
//   - Being recorded: its "begun" entry waits for the disk, and no worker has the order. If the entry is not on the disk
//     after a crash, the next delivery is a first one and runs the order. If it is, the order counts as begun. If the
//     entry can't be written or synced, the order is refused with 503, and until the next start its next delivery is a
//     first one. At the next start, what is on the disk counts, as after a crash.
//   - Begun: the "begun" entry has been synced, and the router has the order. After a crash the order may have run:
//     redeliveries get 502, and it never runs again.
//   - Ended: the outcome is kept and its "ended" entry written, without a sync. Redeliveries get the outcome, also after
//     a crash. If the crash loses the entry, the order counts as begun.
//   - Released: it is proven that the order never ran, and its "freed" entry is written, without a sync. The next delivery
//     is a first one, also after a crash. If the crash loses the entry, the order counts as begun.
//   - Expired: its event is older than the ledger's retention. Receiver.Sweep and the ledger's compaction remove it. A
//     first delivery that comes so late, or shortly before, is refused with 400, so that the order does not run again; see
//     Receiver.isWithinRetention.
//
// An "ended" or "freed" entry that finds the queue of the ledger's writer full is dropped and logged, and counts as lost.
//
// The outcomes of requests that are not orders are in memory alone, and so are notices that have not been delivered: both
// are lost when the process ends.
//
// # Errors
//
// Each reason to refuse an HTTP request is a sentinel error, which statusOf maps to the response's status; an order that
// the ledger could not record gets 503. A refused HTTP request has no effect: no worker gets anything of it. A setting that
// can't be used is a *settingError.
//
// # Units, ownership, goroutine
//
// Durations are milliseconds in payloads and seconds in HTTP headers; in the code they are time.Durations. Points in time
// are durations on the event loop's clock, except those that cross a restart or the wire (events, signatures, retirement
// of keys): they are time.Times on the wall clock.
//
// The bytes that a connection receives are copied, and belong to the connection. The buffers that are written are shared:
// an outcome is written to each connection that waits for it or asks again, a notice by each of its attempts. Neither this
// package nor a Transport changes their bytes.
//
// A Receiver and a Sender belong to the event loop's goroutine: all their methods are called there. The only other
// goroutine is the ledger's writer, which NewReceiver starts and Receiver.Close ends; it calls ReceiverOptions.WallClock
// and ReceiverOptions.RunOnLoop.
package webhook
