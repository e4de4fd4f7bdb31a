package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A soak plays some seconds of a router's life for each seed. A long one is started by hand:
//
//	go test -run TestSoak -timeout 30m ./cmd/functionrouter -soak-seeds 60
var (
	soakSeeds     = flag.Int("soak-seeds", 8, "number of seeds of TestSoak")
	soakFirstSeed = flag.Uint64("soak-first-seed", 1, "first seed of TestSoak")
)

// soakPlan is what a soak draws from a seed.
type soakPlan struct {
	deadline    time.Duration // longest deadline of the classes
	memoryMB    int
	sockets     int
	badClients  int // clients at full speed
	frames      func(random *rand.Rand) func() []byte
	framesName  string
	misbehaving int // clients that end their connections at unexpected moments
	crowd       int // clients that connect and say nothing
	badUntilEnd bool
	signals     []os.Signal // before SIGTERM
}

// newSoakPlan draws a plan.
func newSoakPlan(random *rand.Rand) soakPlan {
	kinds := []struct {
		name   string
		frames func(random *rand.Rand) func() []byte
	}{
		{"checks", checkFrames},
		{"unknown class", callFrames("no such class", time.Second)},
		{"waits of 1 ms", callFrames("safe", time.Millisecond)},
		{"safe calls", callFrames("safe", time.Second)},
		{"unsafe calls", callFrames("unsafe", 100*time.Millisecond)},
	}
	kind := kinds[random.IntN(len(kinds))]
	plan := soakPlan{
		deadline:    time.Duration(300+random.IntN(900)) * time.Millisecond,
		memoryMB:    []int{32, 64, 192}[random.IntN(3)],
		sockets:     []int{256, 1024}[random.IntN(2)],
		badClients:  []int{1, 6, 20, 40}[random.IntN(4)],
		frames:      kind.frames,
		framesName:  kind.name,
		misbehaving: random.IntN(4),
		badUntilEnd: random.IntN(2) == 0,
	}
	if random.IntN(3) == 0 {
		plan.crowd = plan.sockets/3 + 100 // more than the router accepts
	}
	for range random.IntN(6) {
		plan.signals = append(plan.signals, []os.Signal{unix.SIGHUP, unix.SIGUSR1}[random.IntN(2)])
	}
	return plan
}

func (p *soakPlan) String() string {
	return fmt.Sprintf("deadline %v, %d MB, %d descriptors; %d clients at full speed (%s, until the end: %v), %d that misbehave, %d silent; %d signals",
		p.deadline, p.memoryMB, p.sockets, p.badClients, p.framesName, p.badUntilEnd, p.misbehaving, p.crowd, len(p.signals))
}

// adaptConfig changes the text of a configuration.
func (p *soakPlan) adaptConfig(text string) string {
	limits := fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, p.memoryMB, p.sockets)
	text = strings.Replace(text, `"memory_mb":192,"sockets":1024`, limits, 1)
	return withDeadline(text, p.deadline)
}

// Checks, for many seeds, that usual clients get one answer to each call in time, that no unsafe call runs twice, and that
// the memory stays within its limit, beside clients at full speed, clients that misbehave, crowds, faulty workers and
// signals. Usual clients send on open connections until the router is killed, at the earliest time that the operators'
// protocol allows.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakFirstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playSoak(t, seed) })
	}
}

// playSoak plays the soak of a seed.
func playSoak(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 9000)) // no clients use this sequence
	plan := newSoakPlan(random)
	t.Log(&plan)
	counts := &attemptCounts{byBody: map[string]int{}}
	h, process := startWithFaultyWorkers(t, seed, counts, plan.adaptConfig)
	timed := startTimedClients(t, h, timedLoad{
		clients: 6, seed: seed, shortestWait: plan.deadline / 2, longestWait: plan.deadline, classes: []string{"safe", "unsafe"},
	})
	returning := startReturningClients(h.listen, seed)
	crowd := startPeers(h.listen, plan.crowd, func(conn net.Conn, stopped chan struct{}) {
		const reconnectPause = 50 * time.Millisecond
		holdAfter(nil)(conn, stopped)
		time.Sleep(reconnectPause)
	})
	misbehaving := startMisbehavingClients(t, h.listen, plan.misbehaving, seed, misbehaviors...)
	bad := startFullSpeedClients(t, h.listen, plan.badClients, seed, plan.frames)
	for _, s := range plan.signals {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		signalProcess(t, process, s)
	}
	time.Sleep(time.Duration(500+random.IntN(1000)) * time.Millisecond)
	if !plan.badUntilEnd {
		bad.stop()
	}
	peak := 0
	result := timed.killed(shutDownAndKill(t, process, &plan, random, &peak))
	if plan.badUntilEnd {
		bad.stop()
	}
	misbehaving.stop()
	crowd.stop()
	returning.stop()
	result.expectAnswersInTime(t)
	counts.report(t, deploymentMaxAttempts)
	t.Logf("peak memory %.1f of %d MB", float64(peak)/(1<<20), plan.memoryMB)
	if peak > plan.memoryMB<<20 && !raceDetectorEnabled {
		t.Errorf("the process held %d bytes, want at most %d MB", peak, plan.memoryMB)
	}
}

// shutDownAndKill sends a series of signals with SIGTERM first, and waits until just before the earliest kill. It returns
// a function that kills the process. peak gets the most memory that the process has held.
func shutDownAndKill(t *testing.T, process *os.Process, plan *soakPlan, random *rand.Rand, peak *int) (kill func()) {
	t.Helper()
	const untilKill = 700 * time.Millisecond // after the longest deadline
	signalProcess(t, process, unix.SIGTERM)
	killAt := time.Now().Add(plan.deadline + untilKill)
	for _, s := range []os.Signal{unix.SIGHUP, unix.SIGTERM, unix.SIGINT, unix.SIGUSR1} {
		if random.IntN(2) == 0 {
			signalProcess(t, process, s)
		}
	}
	time.Sleep(time.Until(killAt))
	*peak = peakMemory(t, process)
	return func() {
		if err := process.Signal(unix.Signal(0)); err != nil {
			t.Errorf("the process has ended before the kill: %v", err)
		}
		signalProcess(t, process, unix.SIGKILL)
	}
}

// returningClients send unsafe calls, leave, and send the same ids again on other connections.
type returningClients struct {
	stopped chan struct{}
	running sync.WaitGroup
}

// startReturningClients runs two clients until stop. What they do is drawn from seed.
func startReturningClients(address string, seed uint64) *returningClients {
	r := &returningClients{stopped: make(chan struct{})}
	for i := range 2 {
		random := rand.New(rand.NewPCG(seed, uint64(9100+i))) // no other clients use these sequences
		r.running.Go(func() {
			for !isClosed(r.stopped) {
				sendAndReturn(address, random)
			}
		})
	}
	return r
}

// stop ends the clients.
func (r *returningClients) stop() {
	close(r.stopped)
	r.running.Wait()
}

// sendAndReturn sends unsafe calls, leaves by a close, a reset or interrupts, and sends the calls again a little later.
func sendAndReturn(address string, random *rand.Rand) {
	const calls = 4
	var ids []string
	for range calls {
		ids = append(ids, fmt.Sprintf("%016x", random.Uint64()))
	}
	for range 2 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(time.Millisecond)
			return
		}
		client := &testClient{Conn: conn}
		for _, id := range ids {
			_, _ = conn.Write(client.callFrame("unsafe", id, "unsafe "+id, 300*time.Millisecond, "props", functionProperties))
		}
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		switch random.IntN(3) {
		case 0:
			_ = conn.(*net.TCPConn).SetLinger(0) // makes Close send a reset
		case 1:
			for sequence := range uint32(calls) {
				_, _ = conn.Write(interruptFrame(sequence + 1))
			}
		}
		_ = conn.Close()
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}
