package main

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"
)

// connectionFault is what a faultProxy does to the answers on one connection.
type connectionFault int

const (
	noFault         connectionFault = iota
	resetConnection                 // the connection is reset after some milliseconds
	truncateAnswer                  // it is closed in the middle of what the worker sends
	stallAnswers                    // the worker's answers no longer pass, and the connection stays open
	fragmentAnswers                 // they pass a few bytes at a time
	delayAnswers                    // they pass late
	connectionFaultCount
)

// The figures of the faults.
const (
	maxResetDelayMs     = 100                   // of resetSoon, in milliseconds
	maxBytesBeforeFault = 3000                  // that the worker sends before cutAnswer and stallAnswers begin
	fragmentBytes       = 7                     // in one write of dribbleAnswers: less than any answer
	answerDelay         = 20 * time.Millisecond // of delayAnswers
)

// faultProxy stands between the router and a worker. Each connection that it carries has a fault, drawn from its seed.
type faultProxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	random *rand.Rand
	open   map[net.Conn]struct{}
}

// startFaultProxy returns a proxy to the worker at target, until the test ends.
func startFaultProxy(t *testing.T, target string, seed uint64) *faultProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &faultProxy{
		listener: listener,
		target:   target,
		random:   rand.New(rand.NewPCG(seed, 0)),
		open:     map[net.Conn]struct{}{},
	}
	t.Cleanup(p.stop)
	go p.acceptAll()
	return p
}

func (p *faultProxy) addr() string { return p.listener.Addr().String() }

// stop closes the listener and all connections, which ends the goroutines.
func (p *faultProxy) stop() {
	_ = p.listener.Close() // it may be closed already
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		_ = conn.Close() // it may have ended
	}
}

// randomBelow returns a number below limit.
func (p *faultProxy) randomBelow(limit int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(limit)
}

// acceptAll dials the worker for each connection and draws the connection's fault, until the listener closes.
func (p *faultProxy) acceptAll() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close() // the worker has gone, and so does the connection
			continue
		}
		p.mu.Lock()
		p.open[client] = struct{}{}
		p.open[server] = struct{}{}
		p.mu.Unlock()
		go p.forwardRequests(client, server)
		go p.forwardAnswers(client, server, connectionFault(p.randomBelow(int(connectionFaultCount))))
	}
}

// forwardRequests copies what the router sends.
func (p *faultProxy) forwardRequests(client, server net.Conn) {
	_, _ = io.Copy(server, client) // either end may end it
	_ = server.Close()
}

// forwardAnswers copies what the worker sends, with the fault, until either end closes.
func (p *faultProxy) forwardAnswers(client, server net.Conn, fault connectionFault) {
	defer func() { _ = errors.Join(client.Close(), server.Close()) }() // they may have ended
	if fault == resetConnection {
		resetAfter(client, time.Duration(p.randomBelow(maxResetDelayMs))*time.Millisecond)
	}
	bytesBeforeFault := 1 + p.randomBelow(maxBytesBeforeFault) // bytes until the fault begins
	buffer := make([]byte, 4096)
	for {
		n, err := server.Read(buffer)
		if err != nil {
			return
		}
		answers := buffer[:n]
		switch {
		case fault == truncateAnswer && n > bytesBeforeFault:
			_, _ = client.Write(answers[:bytesBeforeFault])
			return
		case fault == stallAnswers && n > bytesBeforeFault:
			_, _ = io.Copy(io.Discard, server) // until the connection ends
			return
		case fault == delayAnswers:
			time.Sleep(answerDelay)
		case fault == fragmentAnswers:
			if answers, err = writeFragments(client, answers); err != nil {
				return
			}
		}
		bytesBeforeFault -= n
		if _, err := client.Write(answers); err != nil {
			return
		}
	}
}

// resetAfter resets the connection after a time, unless it is closed by then.
func resetAfter(conn net.Conn, delay time.Duration) {
	time.AfterFunc(delay, func() {
		_ = conn.(*net.TCPConn).SetLinger(0) // Close sends a reset
		_ = conn.Close()
	})
}

// writeFragments writes answers in pieces of dribbleBytes. It returns the last piece, which it does not write.
func writeFragments(conn net.Conn, answers []byte) (last []byte, err error) {
	for len(answers) > fragmentBytes {
		if _, err := conn.Write(answers[:fragmentBytes]); err != nil {
			return nil, err
		}
		answers = answers[fragmentBytes:]
	}
	return answers, nil
}
