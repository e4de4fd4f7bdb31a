package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// fullSpeedClients runs clients that write frames without a pause and discard what they receive.
type fullSpeedClients struct {
	stopping atomic.Bool
	running  sync.WaitGroup
}

// startFullSpeedClients starts count clients. frames returns the bytes that a client writes next; it is called with a
// random source of the client.
func startFullSpeedClients(
	t *testing.T, address string, count int, seed uint64, newFrames func(random *rand.Rand) func() []byte,
) *fullSpeedClients {
	t.Helper()
	f := &fullSpeedClients{}
	for i := range count {
		f.running.Add(1)
		go func() {
			defer f.running.Done()
			random := rand.New(rand.NewPCG(seed, uint64(5000+i))) // no other clients use this sequence
			for !f.stopping.Load() {
				f.useConnection(address, newFrames(random))
			}
		}()
	}
	return f
}

// useConnection writes on one connection until stop, or until the router closes it.
func (f *fullSpeedClients) useConnection(address string, frames func() []byte) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	discarded := make(chan struct{})
	go func() {
		defer close(discarded)
		buffer := make([]byte, 64<<10)
		for {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
		}
	}()
	for !f.stopping.Load() {
		_ = conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)) // so that the loop sees stopping
		if _, err := conn.Write(frames()); err != nil {
			break
		}
	}
	_ = conn.Close() // much of what was written may be unread
	<-discarded
}

// stop ends the clients, and returns once all their connections are closed.
func (f *fullSpeedClients) stop() {
	f.stopping.Store(true)
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

// callFrames returns a function for fullSpeedClients that writes calls of a class with some hundred ids and functions.
// The bytes are made once, so that the clients take little of the machine.
func callFrames(class string, wait time.Duration) func(random *rand.Rand) func() []byte {
	return func(random *rand.Rand) func() []byte {
		client := &testClient{}
		var batch []byte
		var sequencesAt []int
		for len(batch) < writeBytes {
			id := fmt.Sprintf("%016x", random.Uint64())
			frame := client.callFrame(class, id, "full speed", wait, "props", functionProperties)
			copy(frame[strings.Index(string(frame), "7f3a9c21e0b4d655"):], id)
			sequencesAt = append(sequencesAt, len(batch)+strings.Index(string(frame), "execute")+len("execute"))
			batch = append(batch, frame...)
		}
		sequence := uint32(0)
		return func() []byte {
			for _, at := range sequencesAt {
				sequence++
				binary.BigEndian.PutUint32(batch[at:], sequence)
			}
			return batch
		}
	}
}
