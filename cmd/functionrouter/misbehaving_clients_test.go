package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// misbehavior is a way in which a client ends its connection to the router at an unexpected moment. No test waits for
// answers to what such a client sends.
type misbehavior struct {
	name string
	run  func(conn *net.TCPConn, seed uint64)
}

// maxReconnectPause is the longest time between two connections of a misbehaving client.
const maxReconnectPause = 3 * time.Millisecond

// unawaitedCallFrame returns the frame of a call whose answer no client awaits.
func unawaitedCallFrame(seed uint64) []byte {
	id := fmt.Sprintf("%016x", seed|1<<63) // differs from the IDs of a clientLoad, which are small numbers
	return (&testClient{}).callFrame("safe", id, "unawaited", time.Second, "props", functionProperties)
}

// misbehaviors lists all kinds of misbehavior. Their functions ignore errors, because the router may have closed the
// connection.
var misbehaviors = []misbehavior{
	{"reset", func(conn *net.TCPConn, seed uint64) {
		_, _ = conn.Write(unawaitedCallFrame(seed))
		_ = conn.SetLinger(0) // makes Close send a reset
	}},
	{"partial", func(conn *net.TCPConn, seed uint64) {
		_, _ = conn.Write(unawaitedCallFrame(seed)[:30])
	}},
	{"garbage", func(conn *net.TCPConn, _ uint64) {
		_, _ = conn.Write([]byte("\xff\xff\xff\xff\xff\xff\xff\xff"))
	}},
	{"half-close", func(conn *net.TCPConn, seed uint64) {
		_, _ = conn.Write(unawaitedCallFrame(seed))
		_ = conn.CloseWrite()
	}},
	{"silent", func(*net.TCPConn, uint64) {}},
}

// misbehaviorsNamed returns the misbehaviors with the given names.
func misbehaviorsNamed(t *testing.T, names ...string) (kinds []misbehavior) {
	t.Helper()
	for _, name := range names {
		index := slices.IndexFunc(misbehaviors, func(m misbehavior) bool { return m.name == name })
		if index < 0 {
			t.Fatalf("there is no misbehavior %q", name)
		}
		kinds = append(kinds, misbehaviors[index])
	}
	return kinds
}

// misbehavingClients runs a number of misbehaving clients, each on its own goroutine.
type misbehavingClients struct {
	stopping atomic.Bool
	running  sync.WaitGroup
}

// startMisbehavingClients runs count clients until stop. For each connection, one of kinds is drawn from seed.
func startMisbehavingClients(
	t *testing.T, address string, count int, seed uint64, kinds ...misbehavior,
) *misbehavingClients {
	t.Helper()
	m := &misbehavingClients{}
	for i := range count {
		m.running.Add(1)
		go func() {
			defer m.running.Done()
			random := rand.New(rand.NewPCG(seed, uint64(1000+i))) // no clientLoad uses this sequence
			for !m.stopping.Load() {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					continue
				}
				kinds[random.IntN(len(kinds))].run(conn.(*net.TCPConn), random.Uint64())
				_ = conn.Close()
				time.Sleep(time.Duration(random.Int64N(int64(maxReconnectPause))))
			}
		}()
	}
	return m
}

// stop ends the clients, and returns once all their connections are closed.
func (m *misbehavingClients) stop() {
	m.stopping.Store(true)
	m.running.Wait()
}
