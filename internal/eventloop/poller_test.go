package eventloop

import (
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// countingReceiver counts its events, and runs onEvent at the first.
type countingReceiver struct {
	events  int
	onEvent func()
	client  bool
}

func (p *countingReceiver) isClientConnection() bool { return p.client }

func (p *countingReceiver) onEvents(uint32) {
	p.events++
	if p.onEvent != nil {
		p.onEvent()
		p.onEvent = nil
	}
}

// readableSocket returns a descriptor with a byte to read.
func readableSocket(t *testing.T) int {
	t.Helper()
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	check(t, err)
	t.Cleanup(func() { closeDescriptor(fds[1]) })
	_, err = unix.Write(fds[1], []byte("x"))
	check(t, err)
	return fds[0]
}

// Two descriptors have events in one batch. The handler of the first closes the second and opens a new connection, which
// gets the same descriptor: the old one's event must not reach it.
func TestEventsOfClosedDescriptorsAreDropped(t *testing.T) {
	p, err := newPoller(kernelCalls{})
	check(t, err)
	t.Cleanup(p.close)
	fds := [2]int{readableSocket(t), readableSocket(t)}
	var receivers [2]countingReceiver
	var tokens [2]token
	for i := range fds {
		tokens[i], err = p.add(fds[i], unix.EPOLLIN, &receivers[i])
		check(t, err)
	}
	var successor countingReceiver
	for i := range fds { // whichever comes first in the batch
		other := 1 - i
		receivers[i].onEvent = func() {
			p.remove(tokens[other])
			check(t, unix.Dup3(readableSocket(t), fds[other], unix.O_CLOEXEC)) // closes the old one
			_, err := p.add(fds[other], unix.EPOLLIN, &successor)
			check(t, err)
		}
	}
	events := p.wait(time.Second)
	if len(events) != 2 {
		t.Fatalf("%d events in the batch", len(events))
	}
	p.dispatch(events)
	if receivers[0].events+receivers[1].events != 1 || successor.events != 0 {
		t.Errorf("the old connections received %d and %d events, the new one %d",
			receivers[0].events, receivers[1].events, successor.events)
	}
	p.dispatch(p.wait(time.Second))
	if successor.events != 1 {
		t.Errorf("the new connection received %d events of its own", successor.events)
	}
}

// The events of clients are handled before all others of a batch, in whatever order the kernel reports them.
func TestClientEventsAreDispatchedFirst(t *testing.T) {
	p, err := newPoller(kernelCalls{})
	check(t, err)
	t.Cleanup(p.close)
	var order []bool
	for _, client := range []bool{false, true, false, true} {
		fd := readableSocket(t)
		t.Cleanup(func() { closeDescriptor(fd) })
		receiver := &countingReceiver{client: client}
		receiver.onEvent = func() { order = append(order, client) }
		_, err := p.add(fd, unix.EPOLLIN, receiver)
		check(t, err)
	}
	p.dispatch(p.wait(time.Second))
	if !slices.Equal(order, []bool{true, true, false, false}) {
		t.Errorf("handled in the order %v, true for clients", order)
	}
}

// A call that is posted while the loop ends is not made, and touches no descriptor that is closed by then.
func TestPostAfterRunHasReturned(t *testing.T) {
	l := New(Config{})
	check(t, l.Start())
	l.Post(l.Stop)
	l.Run(func(time.Duration) {}, func(now time.Duration) time.Duration { return now + time.Hour })
	l.Post(func() { t.Error("called") })
}

// Input that is read after a pause may have arrived when the pause began; without a pause it has arrived in this turn.
func TestInputTimeAfterPauses(t *testing.T) {
	const timeout = 100 * time.Millisecond
	for _, test := range []struct {
		name                       string
		turnDuration, waitDuration time.Duration // what the turn before and the wait have taken
		minInputAge                time.Duration // the input time, at least
	}{
		{name: "short turn and wait"},
		{name: "wait to its end", waitDuration: timeout},
		{name: "pause in the turn", turnDuration: time.Second, minInputAge: time.Second},
		{name: "pause in the wait", waitDuration: time.Second, minInputAge: time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := New(Config{})
			now := l.clock.now()
			waitedFrom := now - test.waitDuration
			l.now = waitedFrom - test.turnDuration
			l.startTurn(waitedFrom, timeout)
			if got := l.now - l.InputTime(); got < test.minInputAge || test.minInputAge == 0 && got != 0 {
				t.Errorf("the input time is %v before now, want %v", got, test.minInputAge)
			}
		})
	}
}
