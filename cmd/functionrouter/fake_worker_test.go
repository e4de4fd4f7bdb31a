package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// fakeWorker is a worker whose responses the test controls.
type fakeWorker struct {
	t        *testing.T
	addr     string
	requests chan workerRequest
	reading  chan struct{} // if not nil, the worker reads nothing until startReading closes it
	readOnce sync.Once

	mu       sync.Mutex
	ended    int         // number of connections that have been read to their end
	listenFD int         // listening socket until startAccepting or stop; -1 afterwards
	closers  []io.Closer // the listener, its connections, and the connection that fills its backlog
}

// workerRequest is a request that a worker received.
type workerRequest struct {
	conn net.Conn
	id   string
	body string
}

// newFakeWorker returns a worker that listens but accepts no connections yet. The kernel completes one connection;
// further dials wait until the worker accepts.
func newFakeWorker(t *testing.T) *fakeWorker {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	w := &fakeWorker{t: t, listenFD: fd, requests: make(chan workerRequest, 100)}
	t.Cleanup(w.stop)
	loopback := &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}
	if err := errors.Join(syscall.Bind(fd, loopback), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	bound := name.(*syscall.SockaddrInet4)
	w.addr = netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port)).String()
	return w
}

// startFakeWorker returns a worker that accepts connections.
func startFakeWorker(t *testing.T) *fakeWorker {
	t.Helper()
	w := newFakeWorker(t)
	w.startAccepting()
	return w
}

// startFullBacklogWorker returns a worker whose backlog is full, so that a dial to it waits until it accepts.
func startFullBacklogWorker(t *testing.T) *fakeWorker {
	t.Helper()
	w := newFakeWorker(t)
	conn, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	w.closers = append(w.closers, conn)
	return w
}

// startDeafWorker returns a worker that accepts connections and reads nothing until startReading. Its machine takes some
// KiB of each connection.
func startDeafWorker(t *testing.T) *fakeWorker {
	t.Helper()
	const receiveBuffer = 4 << 10
	w := newFakeWorker(t)
	w.reading = make(chan struct{})
	if err := syscall.SetsockoptInt(w.listenFD, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer); err != nil {
		t.Fatal(err)
	}
	w.startAccepting()
	return w
}

// startReading makes a worker of startDeafWorker read its connections. It has no effect on other workers.
func (w *fakeWorker) startReading() {
	w.readOnce.Do(func() {
		if w.reading != nil {
			close(w.reading)
		}
	})
}

// waitForEnds waits until the worker has read this number of connections to their end.
func (w *fakeWorker) waitForEnds(count int) {
	w.t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		w.mu.Lock()
		ended := w.ended
		w.mu.Unlock()
		if ended >= count {
			return
		}
		if time.Now().After(deadline) {
			w.t.Fatalf("%d connections have ended, want %d", ended, count)
		}
	}
}

// startAccepting starts to accept connections and to read from them. The goroutines end after stop.
func (w *fakeWorker) startAccepting() {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	file := os.NewFile(uintptr(w.listenFD), "worker")
	listener, err := net.FileListener(file) // uses a duplicate of the descriptor
	if err := errors.Join(err, file.Close()); err != nil {
		w.t.Fatal(err)
	}
	w.listenFD = -1
	w.closers = append(w.closers, listener)
	go w.acceptAll(listener)
}

// acceptAll accepts and serves connections until the listener closes.
func (w *fakeWorker) acceptAll(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.closers = append(w.closers, conn)
		w.mu.Unlock()
		go w.serveConnection(conn)
	}
}

// stop closes the listener and all connections.
func (w *fakeWorker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listenFD >= 0 {
		_ = syscall.Close(w.listenFD) // the error does not matter to the test
		w.listenFD = -1
	}
	w.startReading() // ends the goroutines of the connections
	for _, c := range w.closers {
		_ = c.Close() // the test may have stopped the worker already, and connections may have ended
	}
}

// serveConnection passes the requests on a connection to the test, and answers the router's keep-alive checks.
func (w *fakeWorker) serveConnection(conn net.Conn) {
	defer func() { _ = conn.Close() }() // stop may have closed it
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ended++
	}()
	if w.reading != nil {
		<-w.reading
	}
	for in := bufio.NewReader(conn); ; {
		words, err := readCommand(in)
		if err != nil {
			return
		}
		switch {
		case len(words) == 4 && words[0] == "RUN":
			w.requests <- workerRequest{conn: conn, id: words[1], body: words[3]}
		case len(words) == 2 && words[0] == "NOOP":
			if _, err := io.WriteString(conn, workerRequest{id: words[1]}.reply("PONG", "")); err != nil {
				return
			}
		}
	}
}

// readCommand reads a RESP command, which is an array of bulk strings.
func readCommand(in *bufio.Reader) (words []string, err error) {
	count, err := readNumber(in)
	if err != nil {
		return nil, err
	}
	for range count {
		size, err := readNumber(in)
		if err != nil {
			return nil, err
		}
		word := make([]byte, size+len("\r\n"))
		if _, err := io.ReadFull(in, word); err != nil {
			return nil, err
		}
		words = append(words, string(word[:size]))
	}
	return words, nil
}

// readNumber reads the first line of an array or a bulk string: a type byte, then a count or a length.
func readNumber(in *bufio.Reader) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// serveAll responds to all further requests. The test must not call a method that waits for a request afterwards.
func (w *fakeWorker) serveAll() {
	go func() {
		for r := range w.requests {
			r.respond("HIT", "done")
		}
	}()
}

// nextRequest waits for a request to the worker.
func (w *fakeWorker) nextRequest() workerRequest {
	w.t.Helper()
	return w.nextRequestToEither(w)
}

// nextRequestToEither waits for a request to w or to other.
func (w *fakeWorker) nextRequestToEither(other *fakeWorker) workerRequest {
	w.t.Helper()
	select {
	case r := <-w.requests:
		return r
	case r := <-other.requests:
		return r
	case <-time.After(testTimeout):
		w.t.Fatal("no request has arrived within testTimeout")
		return workerRequest{}
	}
}

// expectNoRequest checks that the worker has received no further request so far. It does not wait: the test must first
// wait for something that the router does after it would have sent such a request.
func (w *fakeWorker) expectNoRequest() {
	w.t.Helper()
	select {
	case r := <-w.requests:
		w.t.Errorf("the worker received the unexpected request %q", r.body)
	default:
	}
}

// reply returns a response in RESP. Its third element is "-", which means that there are no fields. The status is HIT for
// a result, FAULT for an error, and so on.
func (r workerRequest) reply(status, body string) string {
	return fmt.Sprintf("*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$1\r\n-\r\n$%d\r\n%s\r\n",
		len(r.id), r.id, len(status), status, len(body), body)
}

// respond sends a response to the router.
func (r workerRequest) respond(status, body string) {
	_, _ = io.WriteString(r.conn, r.reply(status, body)) // the router may have ended
}
