package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// answerTolerance is how much later than its client's timeout an answer may arrive, because the machine may be busy.
const answerTolerance = 500 * time.Millisecond

// maxCallPause is the longest time between two calls of one client of a clientLoad.
const maxCallPause = 2 * time.Millisecond

// functionProperties are the properties of a small function that loads fast.
const functionProperties = "memory_mb:128;lanes:2;load_ms:10"

// clientLoad runs a number of well-behaved clients, each on its own goroutine, and checks the answer to each of their
// calls. A call is lost if its connection ends before the answer, if the answer is wrong, or if the answer arrives
// later than answerTolerance after the client's timeout.
type clientLoad struct {
	t       *testing.T
	address string
	wait    time.Duration // client's timeout for each call
	classes []string      // classes of the calls, used in turn; if empty, all calls have the class safe
	// callsPerConnection is the largest number of calls that a client sends on one connection; the number is drawn for
	// each connection. With 0, a client keeps its connection.
	callsPerConnection int

	stopping  atomic.Bool
	clients   sync.WaitGroup
	callCount atomic.Uint64 // number of calls so far; the source of their IDs
	answered  atomic.Int64
	served    atomic.Int64

	mu   sync.Mutex
	lost []lostCall
}

// lostCall is a call without a valid answer.
type lostCall struct {
	id            string
	at            time.Duration // since the start of the load
	client        string        // address by which the router's log names the client
	callsAnswered int           // on the same connection, before this call
	reason        error
}

func (l lostCall) String() string {
	return fmt.Sprintf("%v: ID %s, client %s, after %d answered calls: %v", l.at, l.id, l.client, l.callsAnswered, l.reason)
}

// reportLost fails the test for each lost call.
func reportLost(t *testing.T, lost []lostCall) {
	t.Helper()
	for _, l := range lost {
		t.Errorf("lost call at %v", l)
	}
}

// start runs count clients until stop. The pauses and the number of calls on each connection are drawn from seed.
func (l *clientLoad) start(count int, seed uint64) {
	startedAt := time.Now()
	for i := range count {
		l.clients.Add(1)
		go func() {
			defer l.clients.Done()
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for !l.stopping.Load() {
				if !l.useConnection(random, startedAt) {
					return
				}
			}
		}()
	}
}

// stop waits until the clients have finished their open calls, and returns the calls that were lost.
func (l *clientLoad) stop() []lostCall {
	l.stopping.Store(true)
	l.clients.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// useConnection sends calls on a new connection. It returns false if the connection could not be opened or a call was
// lost.
func (l *clientLoad) useConnection(random *rand.Rand, startedAt time.Time) bool {
	conn, err := net.Dial("tcp", l.address)
	if err != nil {
		l.t.Errorf("a client can't connect: %v", err)
		return false
	}
	defer func() { _ = conn.Close() }() // the router may have closed it
	client := &testClient{Conn: conn, t: l.t}
	limit := l.callsPerConnection
	if limit > 0 {
		limit = 1 + random.IntN(limit)
	}
	for sent := 0; (limit == 0 || sent < limit) && !l.stopping.Load(); sent++ {
		id := fmt.Sprintf("%016x", l.callCount.Add(1))
		if err := l.call(client, id); err != nil {
			l.mu.Lock()
			l.lost = append(l.lost, lostCall{
				id:            id,
				at:            time.Since(startedAt),
				client:        conn.LocalAddr().String(),
				callsAnswered: sent,
				reason:        err,
			})
			l.mu.Unlock()
			return false
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxCallPause))))
	}
	return true
}

// call sends a call and waits for its answer. It returns an error if the call was lost.
func (l *clientLoad) call(client *testClient, id string) error {
	if err := client.SetDeadline(time.Now().Add(l.wait + answerTolerance)); err != nil {
		return err
	}
	class := "safe"
	if len(l.classes) > 0 {
		class = l.classes[client.lastSequence%uint32(len(l.classes))]
	}
	if _, err := client.Write(client.callFrame(class, id, class+" "+id, l.wait, "props", functionProperties)); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	status, body, err := client.tryResponse()
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	l.answered.Add(1)
	if status == "served" {
		l.served.Add(1)
		if !strings.HasSuffix(body, id) {
			return fmt.Errorf("served with body %q, want one that ends in the ID", body)
		}
	}
	return nil
}

// attemptCounts counts the attempts that the workers received for each request, which it identifies by its body. Only
// completely received attempts count.
type attemptCounts struct {
	mu     sync.Mutex
	byBody map[string]int
}

func (a *attemptCounts) add(body string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byBody[body]++
}

// report fails the test for each request with too many attempts: more than one for an unsafe request, since the first
// attempt may have run, and more than maxAttempts for a safe request.
func (a *attemptCounts) report(t *testing.T, maxAttempts int) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	for body, count := range a.byBody {
		class, _, _ := strings.Cut(body, " ")
		if class == "safe" && count > maxAttempts || class == "unsafe" && count > 1 {
			t.Errorf("the workers received %d attempts of request %q, want at most %d if safe and 1 if unsafe",
				count, body, maxAttempts)
		}
	}
}

// newListeningWorker returns a worker like newFakeWorker, with a common backlog of servers.
func newListeningWorker(t *testing.T) *fakeWorker {
	t.Helper()
	const backlog = 128
	w := newFakeWorker(t)
	if err := unix.Listen(w.listenFD, backlog); err != nil {
		t.Fatal(err)
	}
	return w
}

// startEchoWorker starts a worker that answers each request with the request's body. If counts is not nil, it counts
// the requests there. A goroutine reads the worker's requests channel, so the test must not read it.
func startEchoWorker(t *testing.T, counts *attemptCounts) *fakeWorker {
	t.Helper()
	w := newListeningWorker(t)
	w.startAccepting()
	go func() {
		for r := range w.requests {
			if counts != nil {
				counts.add(r.body)
			}
			r.respond("HIT", r.body)
		}
	}()
	return w
}
