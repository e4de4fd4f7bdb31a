package eventloop

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
)

func TestCauseOfError(t *testing.T) {
	for _, test := range []struct {
		err  error
		want CloseCause
	}{
		{io.EOF, ClosedByPeer},
		{fmt.Errorf("read: %w", syscall.ECONNRESET), ResetByPeer},
		{syscall.EPIPE, ResetByPeer},
		{syscall.ETIMEDOUT, ResetByPeer},
		{syscall.EHOSTUNREACH, ResetByPeer},
		{syscall.ENETUNREACH, ResetByPeer},
		{errPeerNotReading, PeerNotReading},
		{nil, WriteFailed},
		{net.ErrClosed, WriteFailed},
		{errors.New("other"), WriteFailed},
	} {
		if got := causeOfError(test.err, WriteFailed); got != test.want {
			t.Errorf("cause of error %v: got %v, want %v", test.err, got, test.want)
		}
	}
}

// Guards against causes without a name or with the same name: the names are the field names in the log of the counters.
func TestCloseCauseNames(t *testing.T) {
	seen := map[string]bool{}
	for cause := range closeCauseCount {
		if name := cause.String(); name == "" || seen[name] {
			t.Errorf("the cause %d has the empty or duplicate name %q", cause, name)
		} else {
			seen[name] = true
		}
	}
	if got := closeCauseCount.String(); got != "CloseCause(10)" {
		t.Errorf("the value after the last cause prints as %q, want CloseCause(10)", got)
	}
}
