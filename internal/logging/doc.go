// Package logging holds what keeps the log from slowing down what it reports: a Writer that never blocks its callers,
// and a Throttle that bounds the lines of one kind of event.
//
// A Writer is safe for concurrent use. A Throttle is not: it belongs to the goroutine that counts the events.
package logging
