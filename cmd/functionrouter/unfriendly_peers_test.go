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

// unfriendlyPeer is a kind of client that opens a connection to the router and ends it at an odd moment. No test awaits the
// answers to what it sends.
type unfriendlyPeer struct {
	name string
	play func(conn *net.TCPConn, seed uint64)
}

// maxPeerPause is the longest time between two connections of an unfriendly peer.
const maxPeerPause = 3 * time.Millisecond

// peerFrame is the frame of a call of an unfriendly peer.
func peerFrame(seed uint64) []byte {
	id := fmt.Sprintf("%016x", seed|1<<63) // a clientLoad's ids are small numbers
	return (&testClient{}).callFrame("safe", id, "of nobody", time.Second, "props", functionProperties)
}

// unfriendlyPeers are all kinds of them. They ignore errors: the router may have closed the connection.
var unfriendlyPeers = []unfriendlyPeer{
	{"reset", func(conn *net.TCPConn, seed uint64) {
		_, _ = conn.Write(peerFrame(seed)) // the router may have closed it
		_ = conn.SetLinger(0)              // Close sends a reset
	}},
	{"partial", func(conn *net.TCPConn, seed uint64) {
		_, _ = conn.Write(peerFrame(seed)[:30])
	}},
	{"garbage", func(conn *net.TCPConn, _ uint64) {
		_, _ = conn.Write([]byte("\xff\xff\xff\xff\xff\xff\xff\xff"))
	}},
	{"half-close", func(conn *net.TCPConn, seed uint64) {
		_, _ = conn.Write(peerFrame(seed))
		_ = conn.CloseWrite()
	}},
	{"silent", func(*net.TCPConn, uint64) {}},
}

// peersNamed returns the kinds of unfriendly peers with these names.
func peersNamed(t *testing.T, names ...string) (kinds []unfriendlyPeer) {
	t.Helper()
	for _, name := range names {
		index := slices.IndexFunc(unfriendlyPeers, func(p unfriendlyPeer) bool { return p.name == name })
		if index < 0 {
			t.Fatalf("there is no unfriendly peer %q", name)
		}
		kinds = append(kinds, unfriendlyPeers[index])
	}
	return kinds
}

// peerLoad is a number of unfriendly peers, each on a goroutine of its own.
type peerLoad struct {
	stopping atomic.Bool
	peers    sync.WaitGroup
}

// startPeers runs count peers until stop. Each connection plays one of kinds, drawn from seed.
func startPeers(t *testing.T, address string, count int, seed uint64, kinds ...unfriendlyPeer) *peerLoad {
	t.Helper()
	l := &peerLoad{}
	for i := range count {
		l.peers.Add(1)
		go func() {
			defer l.peers.Done()
			random := rand.New(rand.NewPCG(seed, uint64(1000+i))) // no client of a clientLoad draws the same
			for !l.stopping.Load() {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					continue
				}
				kinds[random.IntN(len(kinds))].play(conn.(*net.TCPConn), random.Uint64())
				_ = conn.Close()
				time.Sleep(time.Duration(random.Int64N(int64(maxPeerPause))))
			}
		}()
	}
	return l
}

// stop ends the peers, and returns once all of their connections are closed.
func (l *peerLoad) stop() {
	l.stopping.Store(true)
	l.peers.Wait()
}
