package eventloop

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// CloseCause is why an accepted connection ended. Its String is the name of the counter in the log.
type CloseCause uint8

// The causes.
const (
	// ClosedByPeer: the client has ended the connection (end of file).
	ClosedByPeer CloseCause = iota // closed_by_peer

	// ResetByPeer: the connection broke by a reset, or a network that no longer carries it.
	ResetByPeer // reset_by_peer

	// ReadFailed: any other error of a read.
	ReadFailed // read_failed

	// WriteFailed: any other error of a write.
	WriteFailed // write_failed

	// PeerNotReading: the peer left too many bytes unread, or did not read its last answers within 2 s (closeTimeout).
	PeerNotReading // peer_not_reading

	// IdleTimeout: no complete message and no answer for 15 s (idleTimeout).
	IdleTimeout // idle_timeout

	// MessageTimeout: a message was not complete within 2.5 s (messageTimeout).
	MessageTimeout // message_timeout

	// Evicted: closed to make room for a new connection.
	Evicted // evicted

	// OverLimit: refused, because the limit on accepted connections was reached and none could be evicted, or because the
	// poller could not take it.
	OverLimit // over_limit

	// ClosedByHandler: closed by the protocol's handler, which has its own log of the reason.
	ClosedByHandler // closed_by_handler
)

// closeCauseCount is the number of causes.
const closeCauseCount = ClosedByHandler + 1

// CloseCounts is how many accepted connections ended for each cause; the index is the CloseCause.
type CloseCounts [closeCauseCount]uint64

// brokenConnectionErrors are the errors by which Linux reports that the peer is gone or can't be reached any more: a reset
// (ECONNRESET; EPIPE for a write after it), no acknowledgment for too long (ETIMEDOUT), and the network's errors.
var brokenConnectionErrors = []error{
	syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.ENOTCONN,
}

// causeOfError returns the cause for the error with which a connection ended; it is other for all errors that no cause
// stands for.
func causeOfError(err error, fallback CloseCause) CloseCause {
	switch {
	case errors.Is(err, io.EOF):
		return ClosedByPeer
	case errors.Is(err, errPeerNotReading):
		return PeerNotReading
	case err == nil, errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrClosed):
		return fallback
	}
	for _, broken := range brokenConnectionErrors {
		if errors.Is(err, broken) {
			return ResetByPeer
		}
	}
	return fallback
}
