// Package discovery keeps the endpoint list, the workers and their states, up to date. The configuration holds the initial
// list, and the directory, which is polled by DNS over UDP (RFC 1035, with the SRV records of RFC 2782), every later one.
//
// # Lists
//
// Each list has a serial, the number of the last event that it holds. A list from the directory is complete, even if it
// is empty, and replaces the one before if its serial is higher. Serials are compared as plain numbers, without the
// wrap-around of RFC 1982. A list reaches the owner through the function given to New, sorted by name. An answer that
// can't be used changes nothing: the last list stays in use for as long as the directory is away.
//
// # Errors
//
// Client.LoadInitial alone returns an error. Failures to reach the directory and answers that can't be used are logged,
// and the client goes on polling. After one such line there is none until a usable answer or a change of the directory's
// address.
//
// # Concurrency and time
//
// Nothing here is safe for concurrent use: all methods of a Client and all events of its sockets run on the event loop's
// goroutine. Instants are readings of the event loop's clock, unless a comment says Unix time. An instant of 0 stands for
// never. The package has no clock of its own: events of a socket happen, for it, at the time of the last Client.Poll.
package discovery
