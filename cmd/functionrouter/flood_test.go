package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// fullSpeedClients runs clients that write frames without a pause and discard what they receive.
type fullSpeedClients struct {
	stopped chan struct{}
	running sync.WaitGroup
}

// startFullSpeedClients starts count clients. frames returns the bytes that a client writes next; it is called with a
// random source of the client.
func startFullSpeedClients(
	t *testing.T, address string, count int, seed uint64, newFrames func(random *rand.Rand) func() []byte,
) *fullSpeedClients {
	t.Helper()
	f := &fullSpeedClients{stopped: make(chan struct{})}
	for i := range count {
		f.running.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(5000+i))) // no other clients use this sequence
			for !isClosed(f.stopped) {
				f.useConnection(address, newFrames(random))
			}
		})
	}
	return f
}

// useConnection writes on one connection until stop, or until the router closes it.
func (f *fullSpeedClients) useConnection(address string, frames func() []byte) {
	const sendBuffer = 64 << 10
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	// The client soon waits for the router. Otherwise all clients fill megabytes of buffers as they begin, and the other
	// clients of the test process, which measure times, do not run meanwhile.
	_ = conn.(*net.TCPConn).SetWriteBuffer(sendBuffer)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, conn) // returns when the connection has ended
	}()
	go func() {
		select {
		case <-f.stopped:
		case <-ended:
		}
		_ = conn.Close() // ends a write that waits; much of what was written may be unread
	}()
	for {
		if _, err := conn.Write(frames()); err != nil {
			break
		}
	}
	<-ended
}

// stop ends the clients, and returns once all their connections are closed.
func (f *fullSpeedClients) stop() {
	close(f.stopped)
	f.running.Wait()
}

// writeBytes is how many bytes a client of fullSpeedClients writes at a time.
const writeBytes = 32 << 10

// checkFrames returns checks, which the router answers at once.
func checkFrames(*rand.Rand) func() []byte {
	frame := frameMessage(thriftCall, "check", 1)
	batch := slices.Repeat(frame, writeBytes/len(frame))
	return func() []byte { return batch }
}

// callFrames returns a function for fullSpeedClients that writes calls of a class, each with an id of its own, for some
// hundred functions. Most of the bytes are made once, so that the clients take little of the machine.
func callFrames(class string, wait time.Duration) func(random *rand.Rand) func() []byte {
	return func(random *rand.Rand) func() []byte {
		client := &testClient{}
		var batch []byte
		var sequencesAt, idsAt []int
		for len(batch) < writeBytes {
			id := fmt.Sprintf("%016x", random.Uint64())
			frame := client.callFrame(class, id, "full speed", wait, "props", functionProperties)
			text := string(frame)
			copy(frame[strings.Index(text, "7f3a9c21e0b4d655"):], id)
			sequencesAt = append(sequencesAt, len(batch)+strings.Index(text, "execute")+len("execute"))
			idsAt = append(idsAt, len(batch)+strings.Index(text, id))
			batch = append(batch, frame...)
		}
		sequence := uint32(0)
		return func() []byte {
			for i, at := range sequencesAt {
				sequence++
				binary.BigEndian.PutUint32(batch[at:], sequence)
				putHex(batch[idsAt[i]:], random.Uint64())
			}
			return batch
		}
	}
}

// putHex writes a number as 16 hexadecimal digits.
func putHex(b []byte, number uint64) {
	const digits = "0123456789abcdef"
	for i := range 16 {
		b[i] = digits[number>>(4*(15-i))&15]
	}
}
