// Package simwire translates between the simulator's frames and the types of package policy, and translates the
// simulator's settings into a policy.Config. It makes no routing decisions; package policy makes all of them.
//
// # Frames
//
// The simulator runs many simulated routers at once and sends their events in batches. Each batch of events arrives in
// one frame ([ReadBatch]) and is answered with one frame of actions ([Reply]). All numbers are big-endian. Times are
// milliseconds on the wire. In the code they are of type time.Duration, and a point in time is the duration since the
// start of the simulator's clock.
//
//	batch:  sequence number u32, length of the records u32, number of records u32, clock f64, records
//	reply:  sequence number u32, length of the records u32, records
//	record: code u8, simulated router u16, the fields of the event or action
//
// Lengths are in bytes. Fields carry no names: their order on the wire is the order in which the functions in events.go
// read them and the functions in actions.go write them. A field of variable length is preceded by its length or its
// number of entries; every other field has a fixed length.
//
// # Names
//
// The simulator uses its own names for the concepts that have other names in package policy and docs/GLOSSARY.md. Only
// two files contain the simulator's names: codes.go translates the codes of records, outcomes, worker states, endpoint
// update kinds and instance statuses; settings.go translates the keys of the settings. The simulator calls a simulated
// router an instance; in this package, an instance is a loaded function.
//
// # Concurrency and ownership
//
// No value of this package's types is safe for concurrent use. The caller owns the values that ReadBatch and
// ParseSettings return.
package simwire
