package backend

import (
	"fmt"
	"net"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"functionrouter/internal/eventloop"
	"functionrouter/policy"
)

// Guards against sending a load command to a draining worker: the command is queued during a dial, and the worker
// starts to drain before the dial ends.
func TestQueuedLoadCommandIsNotSentToADrainingWorker(t *testing.T) {
	p := newTestPool()
	p.LoadInstance(workerID, 5, 1, 9)
	p.UpdateEndpoint(workerID, workerAddress, policy.Draining, 0)
	p.transports[0].handler.OnOpen(nil)
	ended := p.recorder.controls[9]
	if got := p.transports[0].Written.String(); got != "" || len(ended) != 1 || ended[0] != policy.WorkerOverloaded {
		t.Errorf("wrote %q, want nothing; the load command ended with %v, want [%v]",
			got, ended, policy.WorkerOverloaded)
	}
}

// Guards against treating a healthy worker as unreachable because a dial was reset: the queued calls are moved to
// another connection, up to maxDialRetries times. They are not moved if the dial was refused or the worker has started
// to drain.
func TestResetDialIsRetried(t *testing.T) {
	dialError := func(err error) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
	}
	reset := dialError(syscall.ECONNRESET)
	for _, test := range []struct {
		name        string
		dials       []error // the results of the dials
		state       policy.WorkerState
		wantDials   int
		unreachable bool // whether the attempt ends as Unreachable
	}{
		{"reset once", []error{reset, nil}, policy.Ready, 2, false},
		{"net.ErrClosed", []error{net.ErrClosed, nil}, policy.Ready, 2, false},
		{"reset every time", []error{reset, reset, reset}, policy.Ready, 3, true},
		{"refused", []error{dialError(syscall.ECONNREFUSED)}, policy.Ready, 1, true},
		{"reset and draining", []error{reset}, policy.Draining, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newTestPool()
			a := firstAttempt(1)
			p.start(a, hexID(0xa1))
			p.UpdateEndpoint(workerID, "", test.state, 0)
			for n, err := range test.dials {
				if n < len(p.transports) {
					p.transports[n].handler.OnOpen(err)
				}
			}
			ended := p.recorder.attempts[a]
			if len(p.transports) != test.wantDials || (len(ended) == 1) != test.unreachable {
				t.Errorf("%d dials, want %d; the attempt ended with %v, want one outcome: %v",
					len(p.transports), test.wantDials, ended, test.unreachable)
			}
			if test.unreachable && ended[0] != policy.Unreachable {
				t.Errorf("the attempt ended with %v, want [%v]", ended, policy.Unreachable)
			}
			if indices := p.transportsWithAttempt(hexID(0xa1)); (len(indices) == 1) == test.unreachable {
				t.Errorf("the attempt was written to the connections %v; want one connection: %v",
					indices, !test.unreachable)
			}
		})
	}
}

// Guards against sending an attempt that has waited for a dial, or for the end of a long turn, with its initial budget
// instead of the remaining budget. An attempt whose budget is spent is not sent.
func TestQueuedAttemptCarriesRemainingBudget(t *testing.T) {
	for _, test := range []struct {
		waited  time.Duration
		turnAge time.Duration
		want    string // empty if the attempt is not sent
	}{
		{0, 0, "budget=1000"},
		{300 * time.Millisecond, 0, "budget=700"},
		{300 * time.Millisecond, 200 * time.Millisecond, "budget=500"},
		{time.Second, 0, ""},
		{300 * time.Millisecond, 700 * time.Millisecond, ""},
	} {
		p := newTestPool()
		a := firstAttempt(1)
		p.start(a, hexID(0xa1))
		p.SetNow(test.waited)
		p.turnAge = test.turnAge
		p.transports[0].handler.OnOpen(nil)
		ended := p.recorder.attempts[a]
		if test.want == "" {
			if len(ended) != 1 || ended[0] != policy.NotSent || p.transports[0].Written.Len() > 0 {
				t.Errorf("after a wait of %v: the attempt ended with %v, want [%v]; wrote %q, want nothing",
					test.waited, ended, policy.NotSent, p.transports[0].Written.String())
			}
			continue
		}
		if !p.transports[0].wrote(test.want) || len(ended) > 0 {
			t.Errorf("after a wait of %v: wrote %q, want %q in it; the attempt ended with %v, want no outcome",
				test.waited, p.transports[0].Written.String(), test.want, ended)
		}
	}
}

// Guards against reporting a worker as unreachable when a dial fails because the router's machine lacks a resource.
// Queued attempts and load commands end as NotSent. A health check ends as Unreachable, because the policy treats
// NotSent as an answer from the worker, and the worker sent none.
func TestLocalDialFaultEndsAttemptAsNotSent(t *testing.T) {
	p := newTestPool()
	a := firstAttempt(1)
	p.start(a, hexID(0xa1))
	p.LoadInstance(workerID, 5, 1, 9)
	p.CheckHealth(workerID, 10)
	for _, transport := range p.transports {
		transport.handler.OnOpen(fmt.Errorf("dial: %w: %w", eventloop.ErrLocalFault, syscall.EMFILE))
	}
	want := []policy.Outcome{policy.NotSent}
	if got := p.recorder.attempts[a]; !slices.Equal(got, want) {
		t.Errorf("the attempt ended with %v, want %v", got, want)
	}
	if got := p.recorder.controls[9]; !slices.Equal(got, want) {
		t.Errorf("the load command ended with %v, want %v", got, want)
	}
	if got := p.recorder.controls[10]; !slices.Equal(got, []policy.Outcome{policy.Unreachable}) {
		t.Errorf("the health check ended with %v, want [%v]", got, policy.Unreachable)
	}
}
