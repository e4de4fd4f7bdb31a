package eventloop

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// faultyCalls makes system calls fail as a test specifies.
type faultyCalls struct {
	kernelCalls
	mu sync.Mutex
	// The errors that the next calls return, in order. Calls after these succeed.
	socketErrors, connectErrors, acceptErrors, waitErrors []error
	// If random is not nil, reads and writes randomly fail with a transient error or transfer fewer bytes than
	// requested.
	random *rand.Rand
}

// takeError removes the first error from errs, a field of f, and returns it. It returns nil if there is none.
func takeError(f *faultyCalls, errs *[]error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(*errs) == 0 {
		return nil
	}
	err := (*errs)[0]
	*errs = (*errs)[1:]
	return err
}

func (f *faultyCalls) socket(domain, socketType int) (int, error) {
	if err := takeError(f, &f.socketErrors); err != nil {
		return -1, err
	}
	return f.kernelCalls.socket(domain, socketType)
}

func (f *faultyCalls) connect(fd int, addr unix.Sockaddr) error {
	if err := takeError(f, &f.connectErrors); err != nil {
		return err
	}
	return f.kernelCalls.connect(fd, addr)
}

func (f *faultyCalls) accept(listener int) (int, unix.Sockaddr, error) {
	if err := takeError(f, &f.acceptErrors); err != nil {
		return -1, nil, err
	}
	return f.kernelCalls.accept(listener)
}

func (f *faultyCalls) wait(poller int, events []unix.EpollEvent, timeoutMs int) (int, error) {
	if err := takeError(f, &f.waitErrors); err != nil {
		return -1, err
	}
	return f.kernelCalls.wait(poller, events, timeoutMs)
}

// transientError returns an error for one call in three on average, and nil for the others.
func (f *faultyCalls) transientError() error {
	if f.random == nil {
		return nil
	}
	return []error{unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM, 11: nil}[f.random.IntN(12)]
}

func (f *faultyCalls) read(fd int, b []byte) (int, error) {
	if err := f.transientError(); err != nil {
		return -1, err
	}
	if f.random != nil {
		b = b[:1+f.random.IntN(len(b))]
	}
	return f.kernelCalls.read(fd, b)
}

func (f *faultyCalls) write(fd int, bufs [][]byte) (int, error) {
	if err := f.transientError(); err != nil {
		return -1, err
	}
	if f.random != nil {
		first := bufs[0]
		return f.kernelCalls.write(fd, [][]byte{first[:min(len(first), 1+f.random.IntN(1000))]})
	}
	return f.kernelCalls.write(fd, bufs)
}

// startFaultyLoop runs a loop that uses calls and whose handlers echo what they receive.
func startFaultyLoop(t *testing.T, calls *faultyCalls) *Loop {
	t.Helper()
	l := New(Config{MaxAcceptedConnections: 10, MaxUnreadBytes: 32 << 20})
	l.calls = calls
	l.Listen("127.0.0.1:0", func(c *Conn) AcceptedHandler {
		return &echoHandler{conn: c, copies: 1, closed: make(chan error, 1)}
	})
	runLoop(t, l)
	return l
}

// Guards against a connection that stays in the backlog: it must be accepted eventually, whatever error accept(2)
// returns.
func TestAcceptErrors(t *testing.T) {
	for _, err := range []unix.Errno{
		unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPERM,
		unix.ENETDOWN, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.ETIMEDOUT,
	} {
		t.Run(unix.ErrnoName(err), func(t *testing.T) {
			l := startFaultyLoop(t, &faultyCalls{acceptErrors: []error{err, err, err}})
			client := dialLoop(t, l)
			write(t, client, []byte("request"))
			got := make([]byte, len("request|"))
			if _, err := io.ReadFull(client, got); err != nil || string(got) != "request|" {
				t.Errorf("the client read %q, error %v; want %q", got, err, "request|")
			}
		})
	}
}

// Guards the retry of a dial that fails because this machine lacks a resource: such an error is no fault of the peer.
func TestDialIsRetriedAfterLocalFaults(t *testing.T) {
	for _, err := range []unix.Errno{
		unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EAGAIN, unix.ENETUNREACH,
	} {
		t.Run(unix.ErrnoName(err), func(t *testing.T) {
			calls := &faultyCalls{}
			l := startFaultyLoop(t, calls)
			calls.mu.Lock()
			calls.socketErrors = []error{err}
			calls.connectErrors = []error{err, err}
			calls.mu.Unlock()
			r := newDialRecorder()
			l.Post(func() { l.Dial(l.Addrs()[0], testTimeout, r) })
			requireNoError(t, <-r.opened)
		})
	}
}

// While this machine lacks a resource, a dial ends only at its timeout, and its error names the local fault.
func TestDialTimeoutReportsLocalFault(t *testing.T) {
	calls := &faultyCalls{}
	l := startFaultyLoop(t, calls)
	calls.mu.Lock()
	for range 1000 {
		calls.socketErrors = append(calls.socketErrors, unix.ENFILE)
	}
	calls.mu.Unlock()
	r := newDialRecorder()
	l.Post(func() { l.Dial(l.Addrs()[0], 50*time.Millisecond, r) })
	if err := <-r.opened; !errors.Is(err, ErrLocalFault) || !errors.Is(err, unix.ENFILE) {
		t.Errorf("the dial ended with %v, want ErrLocalFault and ENFILE", err)
	}
}

// Guards against a second connect(2) after a signal has interrupted the first, which continues in the kernel.
func TestInterruptedConnect(t *testing.T) {
	l := New(Config{})
	requireNoError(t, l.Start())
	t.Cleanup(l.closeDescriptors)
	peer := startFaultyLoop(t, &faultyCalls{})
	l.calls = &interruptedConnect{}
	r := newDialRecorder()
	l.Dial(peer.Addrs()[0], testTimeout, r)
	for len(r.opened) == 0 {
		events, _ := l.poll.wait(time.Second)
		l.poll.dispatch(events)
		l.runDeferred()
	}
	requireNoError(t, <-r.opened)
}

// interruptedConnect makes connect start a connect and return EINTR.
type interruptedConnect struct{ kernelCalls }

func (c *interruptedConnect) connect(fd int, addr unix.Sockaddr) error {
	_ = c.kernelCalls.connect(fd, addr) // the connect is in progress
	return unix.EINTR
}

// Guards against losing events when signals interrupt waits.
func TestInterruptedWaits(t *testing.T) {
	calls := &faultyCalls{}
	for range 100 {
		calls.waitErrors = append(calls.waitErrors, unix.EINTR)
	}
	l := startFaultyLoop(t, calls)
	client := dialLoop(t, l)
	write(t, client, []byte("request"))
	if _, err := io.ReadFull(client, make([]byte, len("request|"))); err != nil {
		t.Errorf("the client can't read its answer: %v", err)
	}
}

// Guards the order and completeness of the data when reads and writes are short or fail temporarily.
func TestPartialReadsWritesAndTransientErrorsLoseNoData(t *testing.T) {
	for seed := range uint64(5) {
		calls := &faultyCalls{random: rand.New(rand.NewPCG(seed, 0))}
		l := startFaultyLoop(t, calls)
		client := dialLoop(t, l)
		text := bytes.Repeat([]byte("0123456789"), 20000)
		go func() { _, _ = client.Write(text) }() // the read loop below detects missing bytes
		var got []byte
		for buf := make([]byte, 4096); len(bytes.ReplaceAll(got, []byte("|"), nil)) < len(text); {
			n, err := client.Read(buf)
			got = append(got, buf[:n]...)
			if err != nil {
				t.Fatalf("seed %d: the read after %d bytes failed: %v", seed, len(got), err)
			}
		}
		if !bytes.Equal(bytes.ReplaceAll(got, []byte("|"), nil), text) {
			t.Errorf("seed %d: the echoed bytes differ from those sent", seed)
		}
	}
}

// Guards against losing the answer of a worker that answers and resets the connection at once: the router's next write
// fails, and the answer must still be read.
func TestAnswerBeforeResetIsRead(t *testing.T) {
	l := New(Config{})
	requireNoError(t, l.Start())
	t.Cleanup(l.closeDescriptors)
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	requireNoError(t, err)
	h := &recordingHandler{received: make(chan string, 10)}
	c := &Conn{loop: l, socket: socket{fd: fds[0]}, handler: h, state: stateOpen}
	requireNoError(t, c.socket.register(l.poll, unix.EPOLLIN, c))
	l.dialed[c] = struct{}{}
	_, err = unix.Write(fds[1], []byte("answer"))
	requireNoError(t, err)
	closeDescriptor(fds[1])
	c.Write([]byte("next call"))
	l.flush()
	l.runDeferred()
	if got := h.next(t); got != "answer" {
		t.Errorf("the handler received %q first, want the answer", got)
	}
	if got := h.next(t); got != closeRecord {
		t.Errorf("the handler received %q after the answer, want the close", got)
	}
}

// Guards against a pause after a single failure of accept, during which new connections would have to wait. While
// accept keeps failing, the pauses grow, up to a limit.
func TestAcceptPauses(t *testing.T) {
	l := New(Config{MaxAcceptedConnections: 10, MaxUnreadBytes: 1 << 20})
	calls := &faultyCalls{}
	l.calls = calls
	l.Listen("127.0.0.1:0", func(c *Conn) AcceptedHandler {
		return &echoHandler{conn: c, closed: make(chan error, 1)}
	})
	requireNoError(t, l.Start())
	t.Cleanup(l.closeDescriptors)
	ln := l.listeners[0]
	for range 5 { // accept fails once for each connection
		dialLoop(t, l)
		calls.acceptErrors = []error{unix.ENFILE}
		ln.onEvents(0)
		if ln.paused {
			t.Fatal("the listener pauses after a single failure")
		}
	}
	if len(l.accepted) != 5 {
		t.Errorf("%d connections were accepted, want 5", len(l.accepted))
	}
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 20, 20, 20} {
		calls.acceptErrors = []error{unix.ENFILE, unix.ENFILE}
		ln.onEvents(0)
		if got := ln.resumeAt - l.now; got != want*time.Millisecond {
			t.Errorf("the listener pauses for %v, want %v", got, want*time.Millisecond)
		}
		calls.acceptErrors = nil
	}
}
