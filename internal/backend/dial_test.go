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

// Guards the drain rule for load commands: one that waits for a dial is not sent once its worker drains.
func TestQueuedLoadCommandIsNotSentToADrainingWorker(t *testing.T) {
	p := newTestPool()
	p.LoadInstance(workerID, 5, 1, 9)
	p.UpdateEndpoint(workerID, workerAddress, policy.Draining, 0)
	p.transports[0].handler.OnOpen(nil)
	ended := p.results.controls[9]
	if got := p.transports[0].Written.String(); got != "" || len(ended) != 1 || ended[0] != policy.WorkerOverloaded {
		t.Errorf("wrote %q, ended %v", got, ended)
	}
}

// Guards healthy workers against connections that are reset when new: the calls that wait for such a dial
// get another, a few times. They get none if the dial is refused or the worker drains meanwhile.
func TestResetDialIsTriedAgain(t *testing.T) {
	dialError := func(err error) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
	}
	reset := dialError(syscall.ECONNRESET)
	for _, test := range []struct {
		name  string
		dials []error // how they end
		state policy.WorkerState
		count int  // dials that are made
		ends  bool // the attempt ends as Unreachable
	}{
		{"reset once", []error{reset, nil}, policy.Ready, 2, false},
		{"closed at once", []error{net.ErrClosed, nil}, policy.Ready, 2, false},
		{"reset again and again", []error{reset, reset, reset}, policy.Ready, 3, true},
		{"refused", []error{dialError(syscall.ECONNREFUSED)}, policy.Ready, 1, true},
		{"reset and draining", []error{reset}, policy.Draining, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newTestPool()
			a := attemptID(1)
			p.start(a, hexID(0xa1))
			p.UpdateEndpoint(workerID, "", test.state, 0)
			for n, err := range test.dials {
				if n < len(p.transports) {
					p.transports[n].handler.OnOpen(err)
				}
			}
			ended := p.results.attempts[a]
			if len(p.transports) != test.count || (len(ended) == 1) != test.ends {
				t.Errorf("%d dials, ended %v", len(p.transports), ended)
			}
			if test.ends && ended[0] != policy.Unreachable {
				t.Errorf("ended %v", ended)
			}
			if on := p.carriers(hexID(0xa1)); (len(on) == 1) == test.ends {
				t.Errorf("written to %d connections", len(on))
			}
		})
	}
}

// The budget of an attempt that has waited for a dial is the time that is left, and not the time that it had at first. An
// attempt whose time is over is not sent.
func TestQueuedAttemptCarriesTheTimeThatIsLeft(t *testing.T) {
	for _, test := range []struct {
		waited time.Duration
		want   string // empty: it is not sent
	}{
		{0, "budget=1000"},
		{300 * time.Millisecond, "budget=700"},
		{time.Second, ""},
	} {
		p := newTestPool()
		a := attemptID(1)
		p.start(a, hexID(0xa1))
		p.SetNow(test.waited)
		p.transports[0].handler.OnOpen(nil)
		ended := p.results.attempts[a]
		if test.want == "" {
			if len(ended) != 1 || ended[0] != policy.NotSent || p.transports[0].Written.Len() > 0 {
				t.Errorf("after %v: ended %v, wrote %q", test.waited, ended, p.transports[0].Written.String())
			}
			continue
		}
		if !p.transports[0].wrote(test.want) || len(ended) > 0 {
			t.Errorf("after %v: wrote %q, ended %v", test.waited, p.transports[0].Written.String(), ended)
		}
	}
}

// A dial that fails because this machine lacks a resource is not held against its worker by the calls that waited for it,
// except a health check: the policy takes each outcome but a few for a sign of life, and the worker gave none.
func TestLocalFaultIsNotTheWorkers(t *testing.T) {
	p := newTestPool()
	a := attemptID(1)
	p.start(a, hexID(0xa1))
	p.LoadInstance(workerID, 5, 1, 9)
	p.CheckHealth(workerID, 10)
	for _, transport := range p.transports {
		transport.handler.OnOpen(fmt.Errorf("dial: %w: %w", eventloop.ErrLocalFault, syscall.EMFILE))
	}
	want := []policy.Outcome{policy.NotSent}
	if got := p.results.attempts[a]; !slices.Equal(got, want) {
		t.Errorf("the attempt ended with %v", got)
	}
	if got := p.results.controls[9]; !slices.Equal(got, want) {
		t.Errorf("the load command ended with %v", got)
	}
	if got := p.results.controls[10]; !slices.Equal(got, []policy.Outcome{policy.Unreachable}) {
		t.Errorf("the health check ended with %v", got)
	}
}
