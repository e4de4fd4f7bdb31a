// Package discovery keeps the endpoint list, which holds the workers and their states, up to date. The initial list
// comes from the configuration. Every later list comes from the directory, which is polled by DNS over UDP (RFC 1035,
// with the SRV records of RFC 2782).
//
// # Lists
//
// Each list has a serial: the number of the last directory event that it includes. A list from the directory is always
// complete, even if it is empty, and replaces the current list if its serial is higher. Serials are compared as plain
// numbers, without the wrap-around of RFC 1982. Each new list is passed, sorted by name, to the function given to New.
// An unusable answer changes nothing: the last list stays in use for as long as the directory gives no usable answer.
//
// # Errors
//
// Only Client.LoadInitial returns an error. Failures to reach the directory and unusable answers are logged, and the
// client continues to poll. Once a failure has been logged, further failures are not logged until the next usable
// answer or until Client.Migrate changes the directory's address.
//
// # Concurrency and time
//
// Nothing in this package is safe for concurrent use: all methods of a Client and all events of its sockets run on the
// event loop's goroutine. Times are readings of the event loop's clock, unless a comment says Unix time. A time of 0
// means never. The package has no clock of its own: an event of a socket gets the time of the last call of Client.Poll.
package discovery
