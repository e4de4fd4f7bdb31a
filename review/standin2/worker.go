package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one RUN that a worker has received.
type run struct {
	worker *worker
	id     string
	class  string
	path   string
	budget int // ms
	body   string
	at     time.Time
}

// worker is a stand-in for a runner.
type worker struct {
	name     string
	address  string
	listener net.Listener
	record   *recorder
	// handle answers a run: word and body. It may take its time. An empty word means no answer.
	handle func(r run) (word, body string)

	mu    sync.Mutex
	conns map[net.Conn]bool
	runs  []run
	stops []string
}

// startWorker listens on address, or on a free port of 127.0.0.1 if address is empty.
func startWorker(name, address string, record *recorder, handle func(run) (string, string)) (*worker, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{name: name, address: listener.Addr().String(), listener: listener, record: record, handle: handle, conns: map[net.Conn]bool{}}
	go w.accept()
	return w, nil
}

// stop ends the worker as the death of its process does.
func (w *worker) stop() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// received returns the runs so far.
func (w *worker) received() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = true
		w.mu.Unlock()
		go w.serve(conn)
	}
}

func (w *worker) serve(conn net.Conn) {
	var writing sync.Mutex
	write := func(words ...string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = io.WriteString(conn, encodeArray(words))
	}
	r := bufio.NewReader(conn)
	for {
		words, err := readArray(r)
		if err != nil {
			w.mu.Lock()
			delete(w.conns, conn)
			w.mu.Unlock()
			_ = conn.Close()
			return
		}
		switch {
		case len(words) == 4 && words[0] == "RUN":
			received := parseRun(w, words)
			w.mu.Lock()
			w.runs = append(w.runs, received)
			w.mu.Unlock()
			w.record.logf("run worker=%s id=%s class=%s path=%s budget=%d", w.name, received.id, received.class, received.path, received.budget)
			go func() {
				if word, body := w.handle(received); word != "" {
					write(received.id, word, "use=queue:0;x0:0.1;x1:0", body)
				}
			}()
		case len(words) == 2 && words[0] == "NOOP":
			write(words[1], "PONG", "-", "")
		case len(words) == 2 && words[0] == "STOP":
			w.mu.Lock()
			w.stops = append(w.stops, words[1])
			w.mu.Unlock()
			w.record.logf("stop worker=%s id=%s", w.name, words[1])
		}
	}
}

func parseRun(w *worker, words []string) run {
	received := run{worker: w, id: words[1], body: words[3], at: time.Now()}
	for pair := range strings.SplitSeq(words[2], ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "queue":
			received.class = value
		case "path":
			received.path = value
		case "budget":
			received.budget, _ = strconv.Atoi(value)
		}
	}
	return received
}

func encodeArray(words []string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	return text.String()
}

func readArray(r *bufio.Reader) ([]string, error) {
	count, err := readNumber(r, '*')
	if err != nil {
		return nil, err
	}
	var words []string
	for range count {
		size, err := readNumber(r, '$')
		if err != nil {
			return nil, err
		}
		word := make([]byte, size+2)
		if _, err := io.ReadFull(r, word); err != nil {
			return nil, err
		}
		words = append(words, string(word[:size]))
	}
	return words, nil
}

func readNumber(r *bufio.Reader, typeByte byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != typeByte {
		return 0, errMalformed
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
