package eventloop

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

// CloseCause says why an accepted connection ended.
type CloseCause uint8

// The causes.
const (
	ClosedByPeer    CloseCause = iota // end of file
	ResetByPeer                       // the connection broke: a reset, or a network that no longer carries it
	ReadFailed                        // any other error of a read
	WriteFailed                       // any other error of a write
	PeerNotReading                    // the peer left too many bytes unread
	IdleTimeout                       // no message in idleTimeout
	MessageTimeout                    // no complete message in messageTimeout
	Evicted                           // closed to make room for a new connection
	OverLimit                         // refused: no room for it, and none could be made
	ClosedByHandler                   // by the protocol's handler, which has its own log of the reason
	closeCauseCount
)

var closeCauseNames = [closeCauseCount]string{
	ClosedByPeer:    "closed_by_peer",
	ResetByPeer:     "reset_by_peer",
	ReadFailed:      "read_failed",
	WriteFailed:     "write_failed",
	PeerNotReading:  "peer_not_reading",
	IdleTimeout:     "idle_timeout",
	MessageTimeout:  "message_timeout",
	Evicted:         "evicted",
	OverLimit:       "over_limit",
	ClosedByHandler: "closed_by_handler",
}

// String returns the cause's name, as the logs give it.
func (c CloseCause) String() string {
	if c < closeCauseCount {
		return closeCauseNames[c]
	}
	return fmt.Sprintf("CloseCause(%d)", uint8(c))
}

// CloseCounts is how many accepted connections ended for each cause.
type CloseCounts [closeCauseCount]uint64

// brokenConnectionErrors are the errors by which Linux reports that the peer or the way to it is gone.
var brokenConnectionErrors = []error{
	syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.ENOTCONN,
}

// causeOfError maps the error with which a connection ended; other is the cause where the error tells nothing.
func causeOfError(err error, other CloseCause) CloseCause {
	switch {
	case errors.Is(err, io.EOF):
		return ClosedByPeer
	case errors.Is(err, errPeerNotReading):
		return PeerNotReading
	case err == nil, errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrClosed):
		return other
	}
	for _, broken := range brokenConnectionErrors {
		if errors.Is(err, broken) {
			return ResetByPeer
		}
	}
	return other
}
