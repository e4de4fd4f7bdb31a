// Package simwire translates between the simulator's frames and the types of package policy, and its settings
// into a policy.Config. It only translates: every decision is taken by package policy.
//
// # Frames
//
// The simulator plays many simulated routers at once and sends what happens to them in batches. A batch of events
// comes in one frame ([ReadBatch]) and is answered by one frame of actions ([Reply]). All numbers are big-endian;
// times are milliseconds on the wire.
//
//	batch:  sequence number u32, length of the records u32, count of the records u32, clock f64, records
//	reply:  sequence number u32, length of the records u32, records
//	record: code u8, simulated router u16, the fields of the event or action
//
// # Names
//
// The simulator has its own names for what package policy calls by the terms of docs/GLOSSARY.md. Two files
// translate them, and no other knows the simulator's names: codes.go for the codes of records, outcomes, worker states,
// list modes and instance statuses, settings.go for the keys of the settings. What the simulator calls an instance is a
// simulated router here; an instance is a loaded function.
package simwire
