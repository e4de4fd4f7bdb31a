// Package simwire translates between the simulator's frames and the types of package policy, and its settings
// into a policy.Config. It only translates: every decision is taken by package policy.
//
// # Frames
//
// The simulator plays many simulated routers at once and sends what happens to them in batches. A batch of events
// comes in one frame ([ReadBatch]) and is answered by one frame of actions ([Reply]). All numbers are big-endian;
// times are milliseconds on the wire, and durations since the start of the simulator's clock in the code.
//
//	batch:  sequence number u32, length of the records u32, count of the records u32, clock f64, records
//	reply:  sequence number u32, length of the records u32, records
//	record: code u8, simulated router u16, the fields of the event or action
//
// Lengths are in bytes. Fields have no lengths or names of their own: the order in which the functions of events.go read
// them and those of actions.go write them is the wire's.
//
// # Names
//
// The simulator has its own names for what package policy calls by the terms of docs/GLOSSARY.md. Two files
// translate them, and no other knows the simulator's names: codes.go for the codes of records, outcomes, worker states,
// list modes and instance statuses, settings.go for the keys of the settings. What the simulator calls an instance is a
// simulated router here; an instance is a loaded function.
//
// Nothing here is safe for concurrent use of one value. What ReadBatch and ParseSettings return belongs to the caller.
package simwire
