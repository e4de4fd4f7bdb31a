// Package ipfix exports one flow record for each request to a collector by IPFIX (RFC 7011) over UDP.
//
// An Exporter queues records (Add) and sends them once a second, several per message (Process). A message is one
// datagram, small enough not to be fragmented. UDP does not guarantee delivery: if a message is lost, the collector
// sees a gap in the sequence numbers. While maxPendingRecords records are pending, the Exporter drops and counts
// further ones, so that an unreachable collector costs a bounded amount of memory.
//
// # Path of a record
//
//   - Exporter.Add encodes a Flow as a data record and appends it to the pending records (exporter.go, record.go).
//   - Exporter.Process opens the socket if there is none, and sends the pending records once per flushInterval. The
//     first message on each socket, and then one message per templateInterval, also contains the templates
//     (exporter.go).
//   - messageEncoder.encode puts as many records into a message as fit (message.go).
//
// # Units, errors, ownership, concurrency
//
// Process and the intervals use the event loop's clock. The times of flows and messages are on the wall clock. On the
// wire, times are in milliseconds in a record and in seconds in a message header.
//
// ReadConfig is the only exported function that returns an error. When a socket fails, the Exporter logs the error,
// keeps the pending records, and opens another socket after redialDelay.
//
// The Exporter discards a Transport only after OnClose or a failed OnOpen, so it never has to close one. A message
// belongs to the Transport once it is written.
//
// Nothing in the package is safe for concurrent use: all of it runs on the event loop's goroutine.
package ipfix
