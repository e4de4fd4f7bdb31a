// Package logging prevents logging from slowing down the program: a Writer never blocks its callers, and a Throttle
// limits how often one kind of event is logged.
//
// A Writer is safe for concurrent use. A Throttle is not: only the goroutine that counts the events may use it.
package logging
