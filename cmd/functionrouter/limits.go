package main

import (
	"slices"
	"time"

	"functionrouter/policy"
)

// fullMemoryMB is the memory, in MiB, to which the byte limits below refer. It is the limit that the platform usually
// sets. With less memory, scaleToMemory reduces the byte limits in proportion; with more memory, they stay the same.
const fullMemoryMB = 192

// Limits on the bytes held for peers, at fullMemoryMB. They add up to 72 of the 192 MiB. Together with the memory that
// open requests take besides their bodies (see openRequestsPerMB), and that functions take (see functionEntriesPerMB),
// they stay within half of the memory.
const (
	maxUnreadBytes        = 32 << 20 // output that peers have not read yet
	maxBodyBytes          = 24 << 20 // bodies of open requests
	maxWebhookResultBytes = 16 << 20 // results kept for webhooks that are delivered again
)

// openRequestsPerMB limits the open requests in proportion to the memory, also above fullMemoryMB. An open request
// takes 2 KiB besides its body, so the open requests take at most a sixteenth of the memory.
const openRequestsPerMB = 32

// functionEntriesPerMB limits what the policy remembers of functions in proportion to the memory. An entry takes up to
// 256 bytes, so the entries take at most a sixteenth of the memory.
const functionEntriesPerMB = 256

// runsPerMB limits, in proportion to the memory, of how many ended requests the router remembers that they may have run.
// An entry takes up to 80 bytes, so the entries take at most a fiftieth of the memory.
const runsPerMB = 256

// The Go runtime's soft memory limit is 6/10 of the memory. It must stay well below the limit at which the platform
// kills the process, because the runtime does not count memory outside of Go and a garbage collection may run late.
const (
	goMemoryNumerator   = 6
	goMemoryDenominator = 10
)

const (
	// clientDescriptorDivisor gives client connections a third of the descriptors. Worker connections get the
	// descriptors that remain after the clients' share and the reserve.
	clientDescriptorDivisor = 3

	// reservedDescriptors is the number of descriptors reserved for uses other than client and worker connections:
	// pollers, listeners, the directory, notices, files, and a few accepted connections beyond the limit (see
	// eventloop.Config).
	reservedDescriptors = 32

	// reservedDescriptorDivisor limits the reserve to a quarter of the descriptors. It takes effect if there are fewer
	// than 128 descriptors.
	reservedDescriptorDivisor = 4
)

const (
	// healthCheckTimeout is how long a worker may take to answer a health check. After that, the check ends with
	// policy.TimedOut.
	healthCheckTimeout = 250 * time.Millisecond

	// maxRefusalRetryAfter is the upper limit of refusalRetryAfter. The settings may set a lower limit.
	maxRefusalRetryAfter = time.Second

	// maxFlushDeadline is the longest deadline that the platform takes into account when it stops a router. The
	// platform kills a router that has not ended by L + 0.7 s after SIGTERM, where L is the longest deadline of all
	// classes, limited to maxFlushDeadline.
	maxFlushDeadline = 3 * time.Second

	// flushMargin is the part of the 0.7 s before the kill (see maxFlushDeadline) in which the router still answers
	// open requests and delivers notices. The remaining 0.2 s are for the end of the program, including
	// logCloseTimeout, and for pauses of the machine.
	flushMargin = 500 * time.Millisecond
)

// goMemoryLimit returns the soft memory limit of the Go runtime, in bytes.
func (c *config) goMemoryLimit() int64 {
	return int64(c.Limits.MemoryMB) << 20 * goMemoryNumerator / goMemoryDenominator
}

// maxClientConnections returns how many accepted connections may be open at once, over all frontends.
func (c *config) maxClientConnections() int { return c.Limits.Sockets / clientDescriptorDivisor }

// maxWorkerConnections returns how many connections to workers may be open at once. They get the descriptors that
// remain after the clients' share and the reserve.
func (c *config) maxWorkerConnections() int {
	reserve := min(reservedDescriptors, c.Limits.Sockets/reservedDescriptorDivisor)
	return c.Limits.Sockets - c.maxClientConnections() - reserve
}

// scaleToMemory scales a byte limit that refers to fullMemoryMB to the configured memory. It never raises the limit.
func (c *config) scaleToMemory(bytes int) int {
	return bytes * min(c.Limits.MemoryMB, fullMemoryMB) / fullMemoryMB
}

// maxOpenRequests returns how many requests may be open at once.
func (c *config) maxOpenRequests() int {
	return min(c.transport.Limits.MaxOpenRequests, c.Limits.MemoryMB*openRequestsPerMB)
}

// maxFunctionEntries returns how many functions, and instances of them at workers, the policy remembers.
func (c *config) maxFunctionEntries() int { return c.Limits.MemoryMB * functionEntriesPerMB }

// flushTimeout returns the longest time after SIGTERM in which the router answers requests and waits for notices.
func (c *config) flushTimeout() time.Duration {
	return min(slices.Max(c.maxWaits()), maxFlushDeadline) + flushMargin
}

// maxWaits returns the longest time that a client waits, by class.
func (c *config) maxWaits() []time.Duration {
	waits := make([]time.Duration, len(c.policy.Classes))
	for i, class := range c.policy.Classes {
		waits[i] = class.Deadline
	}
	return waits
}

// runsAreFinal reports, by class, whether a request that may have run must not run again at will.
func (c *config) runsAreFinal() []bool {
	final := make([]bool, len(c.policy.Classes))
	for i, class := range c.policy.Classes {
		final[i] = class.Idempotency != policy.Idempotent
	}
	return final
}

// runLifetime returns how long the router remembers that a request may have run: for as long as its client may go on to
// send it, and for as long after that as workers may remember it.
func (c *config) runLifetime() time.Duration {
	var window time.Duration
	for _, class := range c.policy.Classes {
		window = max(window, class.DedupWindow)
	}
	return slices.Max(c.maxWaits()) + window
}

// refusalRetryAfter returns the Retry-After of the refusals that the router decides without the policy: refusals at
// once, refusals at the deadline of an overdue request, and refusals of requests whose client has closed its side of
// the connection. It returns 0 if the settings do not allow a Retry-After.
func (c *config) refusalRetryAfter() time.Duration {
	if !c.policy.AllowRetryAfter {
		return 0
	}
	return min(maxRefusalRetryAfter, c.policy.MaxRetryAfter)
}
