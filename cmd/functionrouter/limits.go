package main

import "time"

// fullMemoryMB is the memory for which the bounds in bytes below are chosen, in MiB: the limit that the platform usually
// sets. With less memory these bounds shrink in proportion, with more they stay the same: see scaleToMemory.
const fullMemoryMB = 192

// Bounds on what is held for peers, in bytes, at fullMemoryMB. They add up to 72 MiB of the 192. With the open requests
// beside their bodies, see openRequestsPerMB, they stay within half of the memory.
const (
	maxUnreadBytes        = 32 << 20 // written for peers that do not read
	maxBodyBytes          = 24 << 20 // bodies of open requests
	maxWebhookResultBytes = 16 << 20 // results kept for webhooks that are delivered again
)

// openRequestsPerMB bounds the open requests by the memory, whether that is less or more than fullMemoryMB. At 2 KiB
// each, bodies aside, they take a sixteenth of it.
const openRequestsPerMB = 32

// The Go runtime's soft limit is six tenths of the memory. It has to stay well below the limit at which the platform
// kills the process: the runtime does not count memory outside of Go, and a collection may come late.
const (
	goMemoryNumerator   = 6
	goMemoryDenominator = 10
)

const (
	// clientDescriptorDivisor gives the clients a third of the descriptors. The workers have what the clients and the
	// reserve leave.
	clientDescriptorDivisor = 3

	// reservedDescriptors are reserved for what is neither a client nor a worker: pollers, listeners, the directory,
	// notices, files, and an accepted connection beyond the limit until it is closed.
	reservedDescriptors = 32

	// reservedDescriptorDivisor bounds the reserve to a quarter of the descriptors, for limits below 128.
	reservedDescriptorDivisor = 4
)

const (
	// healthCheckTimeout is how long a worker may take to answer a health check; then it ends as policy.TimedOut.
	healthCheckTimeout = 250 * time.Millisecond

	// maxRefusalRetryAfter bounds refusalRetryAfter; the settings may bound it further.
	maxRefusalRetryAfter = time.Second

	// The platform kills a router that has not ended by L + 0.7 s after SIGTERM, where L is the longest deadline of all
	// classes, counted as maxFlushDeadline at most.
	maxFlushDeadline = 3 * time.Second

	// flushMargin is the part of these 0.7 s in which open requests are still answered and notices delivered. The other
	// 0.2 s are left for the end of the program, logCloseTimeout included, and for a machine that stalls.
	flushMargin = 500 * time.Millisecond
)

// goMemoryLimit is the soft memory limit of the Go runtime, in bytes.
func (c *config) goMemoryLimit() int64 {
	return int64(c.Limits.MemoryMB) << 20 * goMemoryNumerator / goMemoryDenominator
}

// maxClientConnections is how many accepted connections may be open at once, over all frontends.
func (c *config) maxClientConnections() int { return c.Limits.Sockets / clientDescriptorDivisor }

// maxWorkerConnections is how many connections to workers there may be: what the clients and the reserve leave.
func (c *config) maxWorkerConnections() int {
	reserve := min(reservedDescriptors, c.Limits.Sockets/reservedDescriptorDivisor)
	return c.Limits.Sockets - c.maxClientConnections() - reserve
}

// scaleToMemory scales a bound in bytes that is chosen for fullMemoryMB to the memory limit. It never raises the bound.
func (c *config) scaleToMemory(bytes int) int {
	return bytes * min(c.Limits.MemoryMB, fullMemoryMB) / fullMemoryMB
}

// maxOpenRequests is how many requests may be open at once.
func (c *config) maxOpenRequests() int {
	return min(c.transport.Limits.MaxOpenRequests, c.Limits.MemoryMB*openRequestsPerMB)
}

// flushTimeout is how long after SIGTERM requests are answered at the latest and notices are waited for.
func (c *config) flushTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.policy.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxFlushDeadline) + flushMargin
}

// refusalRetryAfter is the Retry-After of the refusals that the policy does not decide: those at once, by the deadline
// guard, and of a client that has ended its side of the connection. It is 0 if the settings allow none.
func (c *config) refusalRetryAfter() time.Duration {
	if !c.policy.AllowRetryAfter {
		return 0
	}
	return min(maxRefusalRetryAfter, c.policy.MaxRetryAfter)
}
