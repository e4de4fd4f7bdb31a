package backend

import (
	"errors"
	"math"
	"slices"
	"time"
)

// deliveryGrace is how long after its withdrawal a written attempt may reach the worker. It leaves time for the worker's
// machine to acknowledge the bytes, which takes up to 40 ms, and ends within the 0.1 s that the operators' terms allow.
const deliveryGrace = 60 * time.Millisecond

// errUndelivered means that a connection is closed because the worker has not taken an attempt that was withdrawn.
var errUndelivered = errors.New("worker has not taken the bytes of an attempt that was withdrawn")

// withdrawnAttempt is a written attempt that was cancelled. Unless the worker's machine has already received it, it must
// not reach the worker later.
type withdrawnAttempt struct {
	endOffset int           // number of bytes written on the connection up to the end of the attempt
	checkAt   time.Duration // when the worker must have got them
}

// watchDelivery records that a written attempt was cancelled.
func (c *connection) watchDelivery(call *pendingCall) {
	if call.withdrawn || call.endOffset <= c.deliveredBytes || c.state == stateClosed {
		return
	}
	call.withdrawn = true
	if len(c.withdrawn) == 0 {
		c.pool.withdrawn = append(c.pool.withdrawn, c)
	}
	c.withdrawn = append(c.withdrawn, withdrawnAttempt{call.endOffset, c.pool.now + deliveryGrace})
}

// CheckDeliveries closes the connections with a withdrawn attempt that has not reached its worker within deliveryGrace.
// It returns when it must be called again.
func (p *Pool) CheckDeliveries(now time.Duration) (next time.Duration) {
	p.SetNow(now)
	next = math.MaxInt64
	p.withdrawn = slices.DeleteFunc(p.withdrawn, func(c *connection) bool {
		c.checkDelivery(now)
		if len(c.withdrawn) == 0 {
			return true
		}
		next = min(next, c.withdrawn[0].checkAt)
		return false
	})
	return next
}

// checkDelivery forgets the withdrawn attempts that have reached the worker, if the first one must have. If it has not,
// checkDelivery closes the connection.
func (c *connection) checkDelivery(now time.Duration) {
	if c.state != stateClosed && now < c.withdrawn[0].checkAt {
		return
	}
	c.deliveredBytes = max(c.deliveredBytes, c.writtenBytes-c.transport.Undelivered())
	c.withdrawn = slices.DeleteFunc(c.withdrawn, func(a withdrawnAttempt) bool { return a.endOffset <= c.deliveredBytes })
	if len(c.withdrawn) > 0 && c.withdrawn[0].checkAt <= now {
		c.closeWithError(errUndelivered)
		c.withdrawn = nil
	}
}
