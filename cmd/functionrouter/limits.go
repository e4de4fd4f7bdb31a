package main

import "time"

// fullMemoryMB is the memory for which the bounds below are chosen, in MiB: the platform's limit on scored days. With
// less memory the bounds shrink in proportion; with more they stay.
const fullMemoryMB = 192

// Bounds on what is held for peers, in bytes, at fullMemoryMB. They add up to 72 MiB of the 192.
const (
	maxUnreadBytes        = 32 << 20 // written for peers that do not read
	maxBodyBytes          = 24 << 20 // bodies of open requests
	maxWebhookResultBytes = 16 << 20 // results kept for webhooks that are delivered again
)

// openRequestsPerMB bounds the open requests by the memory. At 2 KiB each, bodies aside, they take a sixteenth of it.
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

	// reservedDescriptors are kept for what is neither a client nor a worker: pollers, listeners, the directory,
	// notices, files, and an accepted connection beyond the limit until it is closed.
	reservedDescriptors = 32

	// reservedDescriptorDivisor limits the reserve to a quarter of the descriptors if there are few.
	reservedDescriptorDivisor = 4
)

const (
	// healthCheckTimeout is how long a worker may take to answer a health check.
	healthCheckTimeout = 250 * time.Millisecond

	// maxRefusalRetryAfter bounds the Retry-After of a request that is refused at once; the settings may bound it further.
	maxRefusalRetryAfter = time.Second

	// maxFlushDeadline is the most that the platform counts of the longest deadline: it kills a router 0.7 s after that,
	// counted from SIGTERM.
	maxFlushDeadline = 3 * time.Second

	// flushMargin is the part of these 0.7 s that requests and notices may take; it leaves 0.2 s for a machine that stalls.
	flushMargin = 500 * time.Millisecond
)

// goMemoryLimit is the soft memory limit of the Go runtime, in bytes.
func (c *config) goMemoryLimit() int64 {
	return int64(c.Limits.MemoryMB) << 20 * goMemoryNumerator / goMemoryDenominator
}

// maxClientConnections is how many accepted connections there may be.
func (c *config) maxClientConnections() int { return c.Limits.Sockets / clientDescriptorDivisor }

// maxWorkerConnections is how many connections to workers there may be: what the clients and the reserve leave.
func (c *config) maxWorkerConnections() int {
	reserve := min(reservedDescriptors, c.Limits.Sockets/reservedDescriptorDivisor)
	return c.Limits.Sockets - c.maxClientConnections() - reserve
}

// scaleToMemory scales a bound that is right for fullMemoryMB to the memory limit.
func (c *config) scaleToMemory(bytes int) int {
	return bytes * min(c.Limits.MemoryMB, fullMemoryMB) / fullMemoryMB
}

// maxOpenRequests is how many requests may be open at once.
func (c *config) maxOpenRequests() int {
	return min(c.transport.Limits.MaxOpenRequests, c.Limits.MemoryMB*openRequestsPerMB)
}

// flushTimeout is how long after SIGTERM requests may last and notices may take to be delivered.
func (c *config) flushTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.policy.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxFlushDeadline) + flushMargin
}

// refusalRetryAfter is the Retry-After of requests that are refused at once because the router is full; 0 if the
// settings allow none.
func (c *config) refusalRetryAfter() time.Duration {
	if !c.policy.AllowRetryAfter {
		return 0
	}
	return min(maxRefusalRetryAfter, c.policy.MaxRetryAfter)
}
