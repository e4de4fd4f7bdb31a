package eventloop

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// CloseCause is the reason why an accepted connection was closed. Its String is the name of the counter in the log.
type CloseCause uint8

// Causes for which accepted connections are closed or refused.
const (
	// ClosedByPeer: the client closed the connection (end of file).
	ClosedByPeer CloseCause = iota // closed_by_peer

	// ResetByPeer: the peer reset the connection, or the network can't reach the peer.
	ResetByPeer // reset_by_peer

	// ReadFailed: a read failed with any other error.
	ReadFailed // read_failed

	// WriteFailed: a write failed with any other error.
	WriteFailed // write_failed

	// PeerNotReading: the peer left too many bytes unread, all peers together left too many bytes unread and this one
	// had read nothing for longest, or the peer did not read its last answers within 2 s (closeTimeout).
	PeerNotReading // peer_not_reading

	// IdleTimeout: no complete message arrived and no answer was written for 15 s (idleTimeout).
	IdleTimeout // idle_timeout

	// MessageTimeout: no byte arrived within 2.5 s of the accept, or a message was not complete within 2.5 s of its
	// first byte (messageTimeout).
	MessageTimeout // message_timeout

	// Evicted: closed to make room for a new connection.
	Evicted // evicted

	// OverLimit: the connection was refused, before any input had arrived, because the limit on accepted connections was
	// reached and none could be evicted; or it could not be registered with the poller.
	OverLimit // over_limit

	// ClosedByHandler: the protocol's handler closed the connection. The handler logs the reason itself.
	ClosedByHandler // closed_by_handler
)

// closeCauseCount is the number of causes.
const closeCauseCount = ClosedByHandler + 1

// CloseCounts holds how many accepted connections were closed for each cause, indexed by CloseCause.
type CloseCounts [closeCauseCount]uint64

// brokenConnectionErrors are the errors with which Linux reports that the peer is gone or unreachable: a reset
// (ECONNRESET, or EPIPE for a write after it), no acknowledgment for too long (ETIMEDOUT), and network errors.
var brokenConnectionErrors = []error{
	syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.ENOTCONN,
}

// causeOfError returns the cause that corresponds to err, the error with which a connection ended. It returns fallback
// if no cause corresponds to err.
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
