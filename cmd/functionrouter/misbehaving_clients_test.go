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

// misbehavior is a kind of client that opens a connection to the router and ends it at an odd moment. No test awaits the
// answers to what it sends.
type misbehavior struct {
	name string
	run  func(conn *net.TCPConn, seed uint64)
}

// maxReconnectPause is the longest time between two connections of an unfriendly peer.
const maxReconnectPause = 3 * time.Millisecond

// unawaitedCallFrame is the frame of a call of an unfriendly peer.
func unawaitedCallFrame(seed uint64) []byte {
	id := fmt.Sprintf("%016x", seed|1<<63) // a clientLoad's ids are small numbers
	return (&testClient{}).callFrame("safe", id, "of nobody", time.Second, "props", functionProperties)
}

// misbehaviors are all kinds of them. They ignore errors: the router may have closed the connection.
var misbehaviors = []misbehavior{
	{"reset", func(conn *net.TCPConn, seed uint64) {
		_, _ = conn.Write(unawaitedCallFrame(seed)) // the router may have closed it
		_ = conn.SetLinger(0)                       // Close sends a reset
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

// misbehaviorsNamed returns the kinds of unfriendly peers with these names.
func misbehaviorsNamed(t *testing.T, names ...string) (kinds []misbehavior) {
	t.Helper()
	for _, name := range names {
		index := slices.IndexFunc(misbehaviors, func(p misbehavior) bool { return p.name == name })
		if index < 0 {
			t.Fatalf("there is no unfriendly peer %q", name)
		}
		kinds = append(kinds, misbehaviors[index])
	}
	return kinds
}

// misbehavingClients is a number of unfriendly peers, each on a goroutine of its own.
type misbehavingClients struct {
	stopping atomic.Bool
	running  sync.WaitGroup
}

// startMisbehavingClients runs count peers until stop. Each connection plays one of kinds, drawn from seed.
func startMisbehavingClients(t *testing.T, address string, count int, seed uint64, kinds ...misbehavior) *misbehavingClients {
	t.Helper()
	m := &misbehavingClients{}
	for i := range count {
		m.running.Add(1)
		go func() {
			defer m.running.Done()
			random := rand.New(rand.NewPCG(seed, uint64(1000+i))) // no client of a clientLoad draws the same
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

// stop ends the peers, and returns once all of their connections are closed.
func (m *misbehavingClients) stop() {
	m.stopping.Store(true)
	m.running.Wait()
}
