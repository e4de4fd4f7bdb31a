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

// connectionFault is a fault that a faultProxy injects into the answers on one connection.
type connectionFault int

const (
	noFault         connectionFault = iota
	resetConnection                 // reset the connection after some milliseconds
	truncateAnswer                  // close the connection in the middle of the worker's output
	stallAnswers                    // stop forwarding answers, but keep the connection open
	fragmentAnswers                 // forward answers a few bytes at a time
	delayAnswers                    // forward answers late
	connectionFaultCount
)

// Parameters of the faults.
const (
	maxResetDelayMs     = 100                   // of resetConnection, in milliseconds
	maxBytesBeforeFault = 3000                  // forwarded before truncateAnswer or stallAnswers begins
	fragmentBytes       = 7                     // size of one write of fragmentAnswers; less than any answer
	answerDelay         = 20 * time.Millisecond // delay of delayAnswers
)

// faultProxy forwards connections between the router and a worker. Each connection has one fault, drawn from the seed.
type faultProxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	random *rand.Rand
	open   map[net.Conn]struct{}
}

// startFaultProxy starts a proxy to the worker at target. It stops at the end of the test.
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
		_ = conn.Close() // it may be closed already
	}
}

// randomBelow returns a random number below limit.
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
			_ = client.Close() // the worker can't be reached
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

// forwardRequests forwards what the router sends.
func (p *faultProxy) forwardRequests(client, server net.Conn) {
	_, _ = io.Copy(server, client) // ends when either side closes
	_ = server.Close()
}

// forwardAnswers forwards what the worker sends, with the fault, until either side closes.
func (p *faultProxy) forwardAnswers(client, server net.Conn, fault connectionFault) {
	defer func() { _ = errors.Join(client.Close(), server.Close()) }() // they may be closed already
	if fault == resetConnection {
		resetAfter(client, time.Duration(p.randomBelow(maxResetDelayMs))*time.Millisecond)
	}
	bytesBeforeFault := 1 + p.randomBelow(maxBytesBeforeFault) // number of bytes before the fault begins
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
			_, _ = io.Copy(io.Discard, server) // until the connection closes
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

// resetAfter resets the connection after delay, unless it is closed before.
func resetAfter(conn net.Conn, delay time.Duration) {
	time.AfterFunc(delay, func() {
		_ = conn.(*net.TCPConn).SetLinger(0) // makes Close send a reset
		_ = conn.Close()
	})
}

// writeFragments writes answers in fragments of fragmentBytes. It does not write the last fragment but returns it.
func writeFragments(conn net.Conn, answers []byte) (last []byte, err error) {
	for len(answers) > fragmentBytes {
		if _, err := conn.Write(answers[:fragmentBytes]); err != nil {
			return nil, err
		}
		answers = answers[fragmentBytes:]
	}
	return answers, nil
}
