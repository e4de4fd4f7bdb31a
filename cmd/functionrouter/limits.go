package main

import "time"

// fullMemoryMB is the memory for which the bounds below are right: the limit of the days that count. With less
// memory they shrink in proportion; with more they stay.
const fullMemoryMB = 192

// Bounds on what is held for peers, in bytes, at fullMemoryMB. They come to 80 MiB of those 192; Go's runtime, the
// connections' buffers and the open requests take the rest.
const (
	maxQueuedBytes        = 8 << 20  // read from sockets and waiting for the event loop
	maxUnreadBytes        = 32 << 20 // written for peers that do not read
	maxBodyBytes          = 24 << 20 // bodies of open requests
	maxWebhookResultBytes = 16 << 20 // results kept for webhooks that are delivered again
)

// openRequestsPerMB bounds the open requests by the memory. At 2 KiB each, bodies aside, they take a sixteenth of it.
const openRequestsPerMB = 32

// Go's runtime collects garbage more eagerly beyond six tenths of the memory limit: the rest is for the kernel's
// socket buffers and for bursts between two collections.
const (
	goMemoryNumerator   = 6
	goMemoryDenominator = 10
)

const (
	// clientDescriptorDivisor gives clients a third of the descriptors, and the workers most of the others: one
	// client may have requests at several workers.
	clientDescriptorDivisor = 3

	// reservedDescriptors are kept for what is neither a client nor a worker: pollers, listeners, the directory,
	// notices, files, and an accepted connection that is yet to be rejected.
	reservedDescriptors = 32

	// reservedDescriptorDivisor limits the reserve to a quarter where there are few descriptors.
	reservedDescriptorDivisor = 4
)

const (
	// probeTimeout is how long a worker may take to answer a health check.
	probeTimeout = 250 * time.Millisecond

	// maxRejectionRetryAfter is the longest Retry-After that a rejected client is told.
	maxRejectionRetryAfter = time.Second

	// The platform kills a router the longest deadline after SIGTERM, or 3 s if that is less, and 0.7 s more at the
	// earliest. Of the latter, 0.2 s are left for a machine that stalls.
	maxFlushDeadline = 3 * time.Second
	flushMargin      = 500 * time.Millisecond
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
	return min(c.transport.Limits.MaxOpen, c.Limits.MemoryMB*openRequestsPerMB)
}

// flushTimeout is how long after SIGTERM slow clients may take to read their answers or to send the rest of a request,
// and notices to be delivered.
func (c *config) flushTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.policy.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxFlushDeadline) + flushMargin
}

// rejectionRetryAfter is the Retry-After for clients that are rejected since the router is full; 0 where the settings
// allow none.
func (c *config) rejectionRetryAfter() time.Duration {
	if !c.policy.AllowRetryAfter {
		return 0
	}
	return min(maxRejectionRetryAfter, c.policy.MaxRetryAfter)
}
