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

// fakeWorker is a worker whose responses the test gives.
type fakeWorker struct {
	t        *testing.T
	addr     string
	requests chan workerRequest

	mu       sync.Mutex
	listenFD int         // until startAccepting; -1 afterwards
	closers  []io.Closer // the listener, its connections, and one that fills its backlog
}

// workerRequest is a request as a worker received it.
type workerRequest struct {
	conn net.Conn
	id   string
	body string
}

// newFakeWorker returns a worker that listens and accepts nothing yet: its kernel completes one connection, and any
// further dial lasts until the worker accepts.
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

// startFullBacklogWorker returns a worker whose backlog is full: a dial to it lasts until it accepts.
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

// startAccepting begins to accept connections and to read from them. The goroutines end with stop.
func (w *fakeWorker) startAccepting() {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	file := os.NewFile(uintptr(w.listenFD), "worker")
	listener, err := net.FileListener(file) // of a duplicate of the descriptor
	if err := errors.Join(err, file.Close()); err != nil {
		w.t.Fatal(err)
	}
	w.listenFD = -1
	w.closers = append(w.closers, listener)
	go w.acceptAll(listener)
}

// acceptAll serves connections until the listener closes.
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
		_ = syscall.Close(w.listenFD) // nothing to be done about an error
		w.listenFD = -1
	}
	for _, c := range w.closers {
		_ = c.Close() // tests stop a worker twice, and its connections end by themselves
	}
}

// serveConnection passes the requests of a connection to the test, and answers the router's keep-alive checks.
func (w *fakeWorker) serveConnection(conn net.Conn) {
	defer func() { _ = conn.Close() }() // stop may have closed it
	for in := bufio.NewReader(conn); ; {
		words, err := readCommand(in)
		if err != nil {
			return
		}
		switch {
		case len(words) == 4 && words[0] == "RUN":
			w.requests <- workerRequest{conn: conn, id: words[1], body: words[3]}
		case len(words) == 2 && words[0] == "NOOP":
			if _, err := fmt.Fprintf(conn, "*2\r\n$%d\r\n%s\r\n$4\r\nPONG\r\n", len(words[1]), words[1]); err != nil {
				return
			}
		}
	}
}

// readCommand reads a command in RESP: an array of bulk strings.
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

// readNumber reads the line that begins an array or a bulk string: a mark, and a count or a length.
func readNumber(in *bufio.Reader) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// serveAll serves all requests from now on. No other method may wait for requests any more.
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

// nextRequestToEither waits for a request to one of two workers.
func (w *fakeWorker) nextRequestToEither(other *fakeWorker) workerRequest {
	w.t.Helper()
	select {
	case r := <-w.requests:
		return r
	case r := <-other.requests:
		return r
	case <-time.After(testTimeout):
		w.t.Fatal("no request was forwarded")
		return workerRequest{}
	}
}

// expectNoRequest checks that no further request has come to the worker so far. It does not wait: a test that calls it has
// waited for something that the router would have done later.
func (w *fakeWorker) expectNoRequest() {
	w.t.Helper()
	select {
	case r := <-w.requests:
		w.t.Errorf("the worker was sent %q", r.body)
	default:
	}
}

// reply is a response in RESP, with the fields "-", which mean nothing. The words are HIT for a result, FAULT for an error,
// and so on.
func (r workerRequest) reply(status, body string) string {
	return fmt.Sprintf("*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$1\r\n-\r\n$%d\r\n%s\r\n",
		len(r.id), r.id, len(status), status, len(body), body)
}

// respond sends a response.
func (r workerRequest) respond(status, body string) {
	_, _ = io.WriteString(r.conn, r.reply(status, body)) // some tests respond to a router that has gone
}
