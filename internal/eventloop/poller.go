package eventloop

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// maxPollEvents is how many events one wait returns at most. It is as many as a router has descriptors, so that after a
// pause of the machine one turn learns of all that happened.
const maxPollEvents = 1024

// maxInterruptions is how often in a row a wait may be interrupted before its turn begins without events.
const maxInterruptions = 10

// token names the registration of one descriptor at the poller. No token is used twice, although descriptors are: an
// event of a registration that has ended finds nobody.
type token uint64

// wakeToken is the token of the descriptor that wakes the poller.
const wakeToken token = 0

// pollable receives the events of a registered descriptor.
type pollable interface {
	// onEvents handles events, a mask of unix.EPOLL*.
	onEvents(events uint32)
	// ofClient reports whether the descriptor is a client's connection.
	ofClient() bool
}

// poller waits for events on descriptors (epoll(7), level-triggered). Only wake may be called on another goroutine than
// the loop's.
type poller struct {
	calls     systemCalls
	epollFD   int
	wakeFD    int
	lastToken token
	polled    map[token]pollable
	events    []unix.EpollEvent
}

func newPoller(calls systemCalls) (*poller, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("create the poller: %w", err)
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		closeDescriptor(epollFD)
		return nil, fmt.Errorf("create the poller's wake-up: %w", err)
	}
	p := &poller{
		calls:   calls,
		epollFD: epollFD,
		wakeFD:  wakeFD,
		polled:  map[token]pollable{},
		events:  make([]unix.EpollEvent, maxPollEvents),
	}
	if err := p.control(unix.EPOLL_CTL_ADD, wakeFD, wakeToken, unix.EPOLLIN); err != nil {
		p.close()
		return nil, fmt.Errorf("poll the wake-up: %w", err)
	}
	return p, nil
}

func (p *poller) close() {
	closeDescriptor(p.epollFD)
	closeDescriptor(p.wakeFD)
}

// add registers fd for events, a mask of unix.EPOLL*.
func (p *poller) add(fd int, events uint32, receiver pollable) (token, error) {
	p.lastToken++
	if err := p.control(unix.EPOLL_CTL_ADD, fd, p.lastToken, events); err != nil {
		return 0, err
	}
	p.polled[p.lastToken] = receiver
	return p.lastToken, nil
}

// modify changes the events that fd is registered for.
func (p *poller) modify(fd int, t token, events uint32) error {
	return p.control(unix.EPOLL_CTL_MOD, fd, t, events)
}

// remove ends a registration. The caller closes the descriptor next, which takes it out of the kernel's set.
func (p *poller) remove(t token) { delete(p.polled, t) }

func (p *poller) control(operation, fd int, t token, events uint32) error {
	event := unix.EpollEvent{Events: events, Fd: int32(t), Pad: int32(t >> 32)}
	return unix.EpollCtl(p.epollFD, operation, fd, &event)
}

func tokenOf(event *unix.EpollEvent) token {
	return token(uint32(event.Fd)) | token(uint32(event.Pad))<<32
}

// wait waits for events for at most timeout. A wait that a signal interrupts ends with the events that there are: a process
// that goes on after a pause must learn of them in its first turn.
func (p *poller) wait(timeout time.Duration) []unix.EpollEvent {
	timeoutMs := int(max((timeout+time.Millisecond-1)/time.Millisecond, 0))
	for range maxInterruptions {
		n, err := p.calls.wait(p.epollFD, p.events, timeoutMs)
		if err == nil {
			return p.events[:n]
		}
		timeoutMs = 0 // EINTR; the descriptor and the arguments are valid
	}
	return nil
}

// dispatch hands the events to their receivers, and drops those whose registration has ended meanwhile. Those of clients
// come first: one that has gone must not have its call sent over a connection to a worker that opens in the same turn.
func (p *poller) dispatch(events []unix.EpollEvent) {
	for _, ofClients := range []bool{true, false} {
		for i := range events {
			t := tokenOf(&events[i])
			if t == wakeToken && ofClients {
				p.clearWake()
			}
			if receiver := p.polled[t]; receiver != nil && receiver.ofClient() == ofClients {
				receiver.onEvents(events[i].Events)
			}
		}
	}
}

// wake ends a wait, or the next one. It may be called on any goroutine.
func (p *poller) wake() {
	one := [8]byte{1}
	for {
		// EAGAIN: the counter is full, so that the poller is awake.
		if _, err := unix.Write(p.wakeFD, one[:]); !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

func (p *poller) clearWake() {
	var count [8]byte
	_, _ = unix.Read(p.wakeFD, count[:]) // EINTR and EAGAIN: the wait returns at once, or was woken by another
}

// postQueue holds calls that other goroutines want made on the loop's. It is safe for concurrent use.
type postQueue struct {
	mu     sync.Mutex
	calls  []func()
	closed bool // nobody will make them
}

// add queues call, and wakes the poller for the first one. The poller is not closed meanwhile.
func (q *postQueue) add(call func(), p *poller) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.calls = append(q.calls, call)
	if len(q.calls) == 1 {
		p.wake()
	}
}

// take returns the queued calls in order. The queue reuses the array of spare, a batch that is no longer needed.
func (q *postQueue) take(spare []func()) []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := q.calls
	q.calls = spare[:0]
	return batch
}

// close drops what is queued and whatever is added later. The poller may be closed then.
func (q *postQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.calls = nil
	q.closed = true
}
