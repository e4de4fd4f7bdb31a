// Package ipfix exports one flow record for each request to a collector: IPFIX, RFC 7011, over UDP.
//
// An Exporter gathers records and sends them once a second, several in a message. Nothing in it is safe for concurrent
// use: everything runs on the event loop's goroutine.
package ipfix
