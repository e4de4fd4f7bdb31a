package eventloop

import (
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// countingReceiver counts its events, and calls onEvent at the first one.
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

// readableSocket returns the descriptor of a socket that has a byte to read.
func readableSocket(t *testing.T) int {
	t.Helper()
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	requireNoError(t, err)
	t.Cleanup(func() { closeDescriptor(fds[1]) })
	_, err = unix.Write(fds[1], []byte("x"))
	requireNoError(t, err)
	return fds[0]
}

// Guards against an event of a closed connection that reaches a new one with the same descriptor number. Two
// descriptors have events in one batch. The handler of the first closes the second and opens a new connection, which
// gets the second's number.
func TestEventsOfClosedDescriptorsAreDropped(t *testing.T) {
	p, err := newPoller(kernelCalls{})
	requireNoError(t, err)
	t.Cleanup(p.close)
	fds := [2]int{readableSocket(t), readableSocket(t)}
	var receivers [2]countingReceiver
	var tokens [2]token
	for i := range fds {
		tokens[i], err = p.add(fds[i], unix.EPOLLIN, &receivers[i])
		requireNoError(t, err)
	}
	var successor countingReceiver
	for i := range fds { // the kernel may report either of them first
		other := 1 - i
		receivers[i].onEvent = func() {
			p.remove(tokens[other])
			requireNoError(t, unix.Dup3(readableSocket(t), fds[other], unix.O_CLOEXEC)) // closes the old descriptor
			_, err := p.add(fds[other], unix.EPOLLIN, &successor)
			requireNoError(t, err)
		}
	}
	events, _ := p.wait(time.Second)
	if len(events) != 2 {
		t.Fatalf("%d events in the batch, want 2", len(events))
	}
	p.dispatch(events)
	if receivers[0].events+receivers[1].events != 1 || successor.events != 0 {
		t.Errorf("the old connections received %d and %d events, want 1 in total; the new one received %d, want 0",
			receivers[0].events, receivers[1].events, successor.events)
	}
	events, _ = p.wait(time.Second)
	p.dispatch(events)
	if successor.events != 1 {
		t.Errorf("the new connection received %d events of its own, want 1", successor.events)
	}
}

// Events of client connections must be handled before all others of a batch, in whatever order the kernel reports them.
func TestClientEventsAreDispatchedFirst(t *testing.T) {
	p, err := newPoller(kernelCalls{})
	requireNoError(t, err)
	t.Cleanup(p.close)
	var order []bool
	for _, client := range []bool{false, true, false, true} {
		fd := readableSocket(t)
		t.Cleanup(func() { closeDescriptor(fd) })
		receiver := &countingReceiver{client: client}
		receiver.onEvent = func() { order = append(order, client) }
		_, err := p.add(fd, unix.EPOLLIN, receiver)
		requireNoError(t, err)
	}
	events, _ := p.wait(time.Second)
	p.dispatch(events)
	if !slices.Equal(order, []bool{true, true, false, false}) {
		t.Errorf("the events were handled in the order %v (true: of a client), want clients first", order)
	}
}

// A call that is posted after Run has returned must not be made, and Post must not use a descriptor that is closed by
// then.
func TestPostAfterRunHasReturned(t *testing.T) {
	l := New(Config{})
	requireNoError(t, l.Start())
	l.Post(l.Stop)
	l.Run(func(time.Duration) {}, func(now time.Duration) time.Duration { return now + time.Hour })
	l.Post(func() { t.Error("a call that was posted after Run had returned was made") })
}

// Guards InputTime. Input that is read after a pause of the process may have arrived when the pause began. Without a
// pause, InputTime is the time of the present turn.
func TestInputTimeAfterPauses(t *testing.T) {
	const timeout = 100 * time.Millisecond
	for _, test := range []struct {
		name                       string
		turnDuration, waitDuration time.Duration // of the previous turn and of the wait
		minInputAge                time.Duration // how long before now the input time is at least; 0: it is now
	}{
		{name: "short turn and wait"},
		{name: "wait until its timeout", waitDuration: timeout},
		{name: "input that has arrived in the turn", turnDuration: 5 * time.Millisecond, minInputAge: 5 * time.Millisecond},
		{name: "turn before a wait without input", turnDuration: 5 * time.Millisecond, waitDuration: 5 * time.Millisecond},
		{name: "long turn before a wait", turnDuration: 30 * time.Millisecond, waitDuration: 5 * time.Millisecond, minInputAge: 35 * time.Millisecond},
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
				t.Errorf("the input time is %v before now, want at least %v (0: exactly now)", got, test.minInputAge)
			}
		})
	}
}
