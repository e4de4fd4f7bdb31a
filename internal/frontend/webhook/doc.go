// Package webhook is an optional frontend of the router. It receives requests as signed webhook deliveries over
// HTTP/1.1, and it sends signed notices of how orders ended. Both follow the Standard Webhooks specification
// (https://www.standardwebhooks.com).
//
// # Terms
//
// An HTTP request is what a client sends on a connection. A delivery is an HTTP request with the method and path that
// the Receiver serves; a delivery without a valid signature is refused. Its webhook-id identifies it: a delivery with a
// known webhook-id is a redelivery, any other is a first delivery. The type delivery holds the state of a webhook-id.
//
// A request is what a first delivery asks the router to run. Its outcome is the HTTP response to the first delivery and
// to each redelivery. The exception is a request that was refused and provably never ran: the Receiver forgets its
// webhook-id. An order is a request that must never run twice, even if the client repeats it or the machine crashes. A
// notice tells a receiver outside the platform how an order ended. An attempt of a notice is one try to send the
// notice; it does not run the order.
//
// # Processing of a delivery
//
//   - connection.OnData receives bytes and splits them into HTTP requests (connection.go, http_request.go).
//   - Receiver.handle checks the target, the method and the signature (receiver.go, signature.go), and answers a
//     redelivery from the deduplicator (deduplication.go).
//   - Receiver.parsePayload converts the payload of a first delivery into a router.Request (payload.go).
//   - Receiver.admit passes the request to RequestRouter.Submit. An order must first be recorded by the ledger
//     (ledger.go).
//   - responder.Respond receives the router's final answer, records it and answers all connections that wait for it
//     (responder.go). Each of them then handles the input that it has received in the meantime, so Submit may be called
//     again before Respond returns.
//
// # Disconnected clients
//
// The client of a delivery has disconnected when no connection that waits for its outcome is open. No attempt of the request
// begins from then on. If none has begun, the request is cancelled, and the Receiver forgets the webhook-id. Otherwise the
// attempt goes on, and a redelivery gets the outcome.
//
// # States of an order
//
// The ledger is a write-ahead log on the disk. It records the states begun, ended and released; the last one is stored
// as "freed". A crash has these effects:
//
//   - Being recorded: the "begun" entry is not synced yet, and no worker has received the order. If the entry is not on
//     the disk after a crash, the next delivery is a first delivery and runs the order. If it is on the disk, the order
//     counts as begun. If the entry can't be written or synced, the order is refused with 503, and until the next start
//     of the program its next delivery is a first delivery. At the next start, the content of the disk decides, as it
//     does after a crash.
//   - Begun: the "begun" entry has been synced, and the router has received the order. After a crash the order may have
//     run: redeliveries are answered with 502, and the order never runs again.
//   - Ended: the outcome is kept, and the "ended" entry is written without a sync. Redeliveries are answered with the
//     outcome, also after a crash. If the crash loses the entry, the order counts as begun.
//   - Released: the order provably never ran, because it was refused or because its client closed the connection before
//     an attempt began, and the "freed" entry is written without a sync. The next delivery is a first delivery, also after
//     a crash. If the crash loses the entry, the order counts as begun.
//   - Expired: the event of the order is older than the ledger's retention. Receiver.Sweep and the compaction of the
//     ledger remove the order. A first delivery with an expired or nearly expired event is refused with 400, so that
//     the order does not run again; see Receiver.isWithinRetention.
//
// If the queue of the ledger's writer is full, an "ended" or "freed" entry is dropped, and a warning is logged. The
// effect is the same as if a crash had lost the entry.
//
// The outcomes of requests that are not orders and the notices that have not been delivered are kept in memory only.
// Both are lost when the process ends.
//
// # Errors
//
// Each reason to refuse an HTTP request is a sentinel error, which statusOf maps to the status of the response. The
// exception is an order that the ledger could not record: it is answered with 503. No worker receives any part of a
// refused HTTP request. Its only effects are the response, the counters and the log, except that the "begun" entry of
// an order may be on the disk although its write or sync has failed. A setting that can't be used is reported as a
// *settingError.
//
// # Units, ownership, goroutine
//
// Durations are milliseconds in payloads and seconds in HTTP headers; in the code they are time.Durations. Points in
// time are durations on the event loop's clock. Those that outlive the process or are sent to a peer (times of events,
// signatures and the retirement of keys) are time.Times on the wall clock.
//
// A connection copies the bytes that it receives and owns the copy. Buffers that are written are shared: an outcome is
// written to each connection that waits for it or requests it again, and a notice is written by each of its attempts.
// Neither this package nor a Transport modifies the bytes of such a buffer.
//
// All methods of a Receiver and a Sender must be called on the event loop's goroutine. The only other goroutine is the
// ledger's writer, which NewReceiver starts and Receiver.Close ends. The writer calls ReceiverOptions.WallClock and
// ReceiverOptions.RunOnLoop.
package webhook
