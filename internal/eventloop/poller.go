package eventloop

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// maxPollEvents is how many events one wait returns at most. The platform is not known to give a router more
// descriptors than this, so one turn after a pause of the machine handles everything that happened meanwhile.
const maxPollEvents = 1024

// maxInterruptions is how often in a row signals may interrupt a wait before its turn begins without events.
const maxInterruptions = 10

// token identifies one registration of a descriptor with the poller. The kernel reuses descriptor numbers, but no token
// is used twice, so that an event of a registration that has ended has no receiver.
type token uint64

// wakeToken is the token of the descriptor that wakes the poller.
const wakeToken token = 0

// eventReceiver receives the events of a registered descriptor.
type eventReceiver interface {
	// onEvents handles events, a mask of unix.EPOLL*.
	onEvents(events uint32)
	// isClientConnection reports whether the descriptor is a connection that a client has opened.
	isClientConnection() bool
}

// poller waits for events on descriptors with epoll(7). Only wake may be called on a goroutine other than the loop's.
//
// It is level-triggered, which is epoll's default: each wait reports a descriptor for as long as its condition lasts. A
// handler may therefore leave input unread, and gets the event again in the next turn. This package uses these events:
//
//   - EPOLLIN: there is input, or a connection to accept. The end of the input counts as input.
//   - EPOLLOUT: the send buffer has space. On a connecting socket: the connect has ended.
//   - EPOLLRDHUP: the peer has ended its direction (a FIN), or the connection broke.
//   - EPOLLHUP: both directions have ended. EPOLLERR: the socket has a pending error. These two are always reported.
type poller struct {
	calls     systemCalls
	epollFD   int
	wakeFD    int // an eventfd(2), which wake makes readable
	lastToken token
	receivers map[token]eventReceiver // the receivers of the registrations; wakeToken has none
	events    []unix.EpollEvent       // the result of the last wait
}

// newPoller returns a poller that polls only its own wake-up descriptor. The caller must close it.
func newPoller(calls systemCalls) (*poller, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("create the poller: %w", err)
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		closeDescriptor(epollFD)
		return nil, fmt.Errorf("create the poller's wake-up descriptor: %w", err)
	}
	p := &poller{
		calls:     calls,
		epollFD:   epollFD,
		wakeFD:    wakeFD,
		receivers: map[token]eventReceiver{},
		events:    make([]unix.EpollEvent, maxPollEvents),
	}
	if err := p.control(unix.EPOLL_CTL_ADD, wakeFD, wakeToken, unix.EPOLLIN); err != nil {
		p.close()
		return nil, fmt.Errorf("register the poller's wake-up descriptor: %w", err)
	}
	return p, nil
}

func (p *poller) close() {
	closeDescriptor(p.epollFD)
	closeDescriptor(p.wakeFD)
}

// add registers fd for events, a mask of unix.EPOLL*, which dispatch passes to receiver. It returns the token of the
// registration.
func (p *poller) add(fd int, events uint32, receiver eventReceiver) (token, error) {
	p.lastToken++
	if err := p.control(unix.EPOLL_CTL_ADD, fd, p.lastToken, events); err != nil {
		return 0, err
	}
	p.receivers[p.lastToken] = receiver
	return p.lastToken, nil
}

// modify changes the events that fd is registered for.
func (p *poller) modify(fd int, t token, events uint32) error {
	return p.control(unix.EPOLL_CTL_MOD, fd, t, events)
}

// remove ends a registration. The caller must close the descriptor next, which makes the kernel stop polling it.
func (p *poller) remove(t token) { delete(p.receivers, t) }

// control changes the kernel's registration of fd. The token is stored in the event's user data, which the unix package
// splits into Fd and Pad.
func (p *poller) control(operation, fd int, t token, events uint32) error {
	event := unix.EpollEvent{Events: events, Fd: int32(t), Pad: int32(t >> 32)}
	return unix.EpollCtl(p.epollFD, operation, fd, &event)
}

// tokenOf returns the token that control has stored in the event's user data.
func tokenOf(event *unix.EpollEvent) token {
	return token(uint32(event.Fd)) | token(uint32(event.Pad))<<32
}

// wait waits for events for at most timeout, which is rounded up to milliseconds. The result is valid until the next
// wait. If a signal interrupts the wait, wait returns the events that are present without waiting further, because a
// process that continues after a pause must handle them in its first turn. complete means that no other descriptor has an
// event.
func (p *poller) wait(timeout time.Duration) (events []unix.EpollEvent, complete bool) {
	timeoutMs := int(max((timeout+time.Millisecond-1)/time.Millisecond, 0))
	for range maxInterruptions {
		n, err := p.calls.wait(p.epollFD, p.events, timeoutMs)
		if err == nil {
			return p.events[:n], n < len(p.events)
		}
		timeoutMs = 0 // the error is EINTR: no other is possible with a valid descriptor and buffer
	}
	return nil, false
}

// dispatch passes the events to their receivers, and drops those whose registration has ended in the meantime. Events
// of client connections are handled first, so that the request of a client that has disconnected is not sent over a
// worker connection that opens in the same turn.
func (p *poller) dispatch(events []unix.EpollEvent) {
	for _, clientPass := range []bool{true, false} {
		for i := range events {
			t := tokenOf(&events[i])
			if t == wakeToken && clientPass {
				p.clearWake()
			}
			if receiver := p.receivers[t]; receiver != nil && receiver.isClientConnection() == clientPass {
				receiver.onEvents(events[i].Events)
			}
		}
	}
}

// wake ends the present wait, or the next one if there is none. It may be called on any goroutine.
func (p *poller) wake() {
	one := [8]byte{1}
	for {
		// EAGAIN means that the eventfd's counter is full, so that the poller does not wait.
		if _, err := unix.Write(p.wakeFD, one[:]); !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

// clearWake makes the wake-up descriptor unreadable again.
func (p *poller) clearWake() {
	var count [8]byte
	_, _ = unix.Read(p.wakeFD, count[:]) // EINTR: the next wait returns at once; EAGAIN: it is already unreadable
}
