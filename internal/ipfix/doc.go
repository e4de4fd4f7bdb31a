// Package ipfix exports one flow record for each request to a collector: IPFIX, RFC 7011, over UDP.
//
// An Exporter gathers records (Add) and sends them once a second, several in a message (Process). A message is one
// datagram, small enough not to be fragmented. UDP gives no guarantee: a message that was sent may be lost, and the
// collector sees the gap in the sequence numbers. Records that find the limit on pending ones reached are dropped and
// counted, so that an absent collector costs a bounded amount of memory.
//
// # The way of a record
//
//   - Exporter.Add encodes a Flow as a data record and appends it to the pending ones (exporter.go, record.go).
//   - Exporter.Process opens the socket if need be, and once in flushInterval sends the pending records (exporter.go).
//   - messageEncoder.encode puts as many records as fit in a message, with the templates once in templateInterval and at
//     first on each new socket (message.go).
//
// # Units, errors, ownership, goroutine
//
// Process and the intervals use the event loop's clock; flows and messages have times on the wall clock, in milliseconds
// and seconds on the wire. ReadConfig is the only function that returns an error. A socket that fails is logged and
// opened again after redialDelay; its pending records stay.
//
// The Exporter owns its Transport: it closes none, since it drops one only after OnClose or a failed OnOpen. A message
// belongs to the Transport once it is written.
//
// Nothing in the package is safe for concurrent use: everything runs on the event loop's goroutine.
package ipfix
