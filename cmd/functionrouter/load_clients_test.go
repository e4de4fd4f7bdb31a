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

// answerTolerance is how much later than its client waits an answer may come, on a machine that is busy.
const answerTolerance = 500 * time.Millisecond

// maxCallPause is the longest time between two calls of a client of clientLoad.
const maxCallPause = 2 * time.Millisecond

// functionProperties are the figures of a small function that loads fast.
const functionProperties = "memory_mb:128;lanes:2;load_ms:10"

// clientLoad is a number of well-behaved clients, each on a goroutine of its own. It follows each call that they send
// to its answer. A call is lost if its connection ends before the answer, if the answer is wrong, or if it comes later
// than answerTolerance after the time that the client waits.
type clientLoad struct {
	t       *testing.T
	address string
	wait    time.Duration // that a client has for each call
	classes []string      // of the calls, in turn; safe alone if there are none
	// callsPerConnection is how many calls at most a client sends before it connects again, drawn for each connection; 0: it
	// keeps its connection.
	callsPerConnection int

	stopping  atomic.Bool
	clients   sync.WaitGroup
	callCount atomic.Uint64 // numbers the calls
	answered  atomic.Int64
	served    atomic.Int64

	mu   sync.Mutex
	lost []lostCall
}

// lostCall is a call without a valid answer.
type lostCall struct {
	id            string
	at            time.Duration // since the start of the load
	client        string        // its address, by which the router's log names it
	callsAnswered int           // on the same connection, before it
	reason        error
}

func (l lostCall) String() string {
	return fmt.Sprintf("%v: call %s of %s, after %d answered ones: %v", l.at, l.id, l.client, l.callsAnswered, l.reason)
}

// reportLost fails the test for each call that was lost.
func reportLost(t *testing.T, lost []lostCall) {
	t.Helper()
	for _, l := range lost {
		t.Errorf("lost at %v", l)
	}
}

// start runs count clients until stop. Their pauses, and the calls on each connection, are drawn from seed.
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

// stop lets the clients finish the calls that are open, and returns those that were lost.
func (l *clientLoad) stop() []lostCall {
	l.stopping.Store(true)
	l.clients.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// useConnection sends calls on a new connection. It returns false if a call was lost, or the router can't be connected to.
func (l *clientLoad) useConnection(random *rand.Rand, startedAt time.Time) bool {
	conn, err := net.Dial("tcp", l.address)
	if err != nil {
		l.t.Errorf("a client can't connect: %v", err)
		return false
	}
	defer func() { _ = conn.Close() }() // the router may have ended it
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

// call sends a call and waits for its answer. An error says how it was lost.
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
			return fmt.Errorf("served with %q", body)
		}
	}
	return nil
}

// attemptCounts counts the attempts of each request that any worker has received completely, by the request's body.
type attemptCounts struct {
	mu     sync.Mutex
	byBody map[string]int
}

func (a *attemptCounts) add(body string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byBody[body]++
}

// report fails the test for each request that was sent too often: an unsafe one more than once, since it may have run, or a
// safe one more than maxAttempts times.
func (a *attemptCounts) report(t *testing.T, maxAttempts int) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	for body, count := range a.byBody {
		class, _, _ := strings.Cut(body, " ")
		if class == "safe" && count > maxAttempts || class == "unsafe" && count > 1 {
			t.Errorf("%d attempts of %q", count, body)
		}
	}
}

// startEchoWorker starts a worker that answers each request with its own body, and enters it in counts, if that is not nil.
// Its requests channel is read by a goroutine of its own.
func startEchoWorker(t *testing.T, counts *attemptCounts) *fakeWorker {
	t.Helper()
	const backlog = 128 // as a real server has it
	w := newFakeWorker(t)
	if err := unix.Listen(w.listenFD, backlog); err != nil {
		t.Fatal(err)
	}
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
