// Package ipfix exports one flow record for each request to a collector: IPFIX, RFC 7011, over UDP.
//
// An Exporter gathers records (Add) and sends them once a second, several in a message (Process). A message is one
// datagram, small enough not to be fragmented. UDP gives no guarantee: a message that was sent may be lost, and the
// collector sees the gap in the sequence numbers. While maxPendingRecords are pending, further records are dropped and
// counted, so that an absent collector costs a bounded amount of memory.
//
// # The way of a record
//
//   - Exporter.Add encodes a Flow as a data record and appends it to the pending ones (exporter.go, record.go).
//   - Exporter.Process opens the socket if need be, and once in flushInterval sends the pending records. The first message
//     on each socket, and then one in templateInterval, has the templates too (exporter.go).
//   - messageEncoder.encode puts as many records as fit in a message (message.go).
//
// # Units, errors, ownership, goroutine
//
// Process and the intervals use the event loop's clock. The times of flows and messages are on the wall clock; on the wire
// they are milliseconds in a record and seconds in a message's header.
//
// ReadConfig is the only exported function that returns an error. The failure of a socket is logged, and another one is
// opened after redialDelay; the pending records stay.
//
// The Exporter drops a Transport only after OnClose or a failed OnOpen, so that it need not close one. A message belongs to
// the Transport once it is written.
//
// Nothing in the package is safe for concurrent use: everything runs on the event loop's goroutine.
package ipfix
