package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// smallMemoryMB is the least memory that the platform gives a router, and manySockets the most descriptors.
const (
	smallMemoryMB = 32
	manySockets   = 1024
)

// peakMemory returns the most memory that the process has held, in bytes (VmHWM in proc(5)).
func peakMemory(t *testing.T, process *os.Process) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	t.Fatal("the process has no VmHWM")
	return 0
}

// peers runs clients or workers until stop, each on its own goroutine.
type peers struct {
	stopped chan struct{}
	running sync.WaitGroup
}

// startPeers calls use for count connections to address, again for each connection that has ended. use returns when its
// connection has ended or stopped is closed.
func startPeers(address string, count int, use func(conn net.Conn, stopped chan struct{})) *peers {
	p := &peers{stopped: make(chan struct{})}
	for range count {
		p.running.Add(1)
		go func() {
			defer p.running.Done()
			for !isClosed(p.stopped) {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				use(conn, p.stopped)
				_ = conn.Close() // the router may have closed it
			}
		}()
	}
	return p
}

// stop ends the peers.
func (p *peers) stop() {
	close(p.stopped)
	p.running.Wait()
}

// holdAfter returns a use of a connection that writes b and then waits for the end of the connection.
func holdAfter(b []byte) func(net.Conn, chan struct{}) {
	return func(conn net.Conn, stopped chan struct{}) {
		if _, err := conn.Write(b); err != nil {
			return
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, conn) // returns when the connection has ended
		}()
		select {
		case <-ended:
		case <-stopped:
			_ = conn.Close()
			<-ended
		}
	}
}

// repeat returns a use of a connection that writes b until the connection ends, with a pause after each time.
func repeat(b []byte, pause time.Duration) func(net.Conn, chan struct{}) {
	return func(conn net.Conn, stopped chan struct{}) {
		go func() {
			_, _ = io.Copy(io.Discard, conn) // returns when the connection has ended
		}()
		for !isClosed(stopped) {
			_ = conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
			if _, err := conn.Write(b); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

// manyFieldsFrame returns a frame whose map of fields has many short entries.
func manyFieldsFrame() []byte {
	const fields = 1700
	args := []byte{thriftMap, 0, 1, thriftString, thriftString}
	args = binary.BigEndian.AppendUint32(args, fields)
	for n := range fields {
		args = appendLengthPrefixed(args, strconv.Itoa(n))
		args = appendLengthPrefixed(args, "")
	}
	return frameMessage(thriftCall, "execute", 1, args...)
}

// webhookHead returns the begin of an HTTP request with many short fields that never ends.
func webhookHead() []byte {
	var head bytes.Buffer
	head.WriteString("POST /hooks HTTP/1.1\r\nHost: a\r\n")
	for head.Len() < 8<<10-16 {
		head.WriteString("a: b\r\n")
	}
	return head.Bytes()
}

// webhookBody returns an HTTP request whose body lacks its last byte.
func webhookBody() []byte {
	const size = 24 << 10
	return append([]byte(fmt.Sprintf("POST /hooks HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)), make([]byte, size-1)...)
}

// enableWebhooks makes the routers that are started later listen for webhooks, and returns their address.
func enableWebhooks(t *testing.T) (address string) {
	t.Helper()
	dir := t.TempDir()
	address = freeAddress(t)
	key, err := os.ReadFile("../../example/hook.key")
	if err != nil {
		t.Fatal(err)
	}
	keyPath := filepath.Join(dir, "hook.key")
	if err := os.WriteFile(keyPath, key, 0o600); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "webhook.toml")
	text := fmt.Sprintf("[receiver]\nenabled = true\nlisten = %q\npath = \"/hooks\"\ntolerance = \"5m\"\ndedupe_for = \"15m\"\nkeys = [{ file = %q }]\n",
		address, keyPath)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(webhookVariable, path)
	return address
}

// Guards against a process that is killed for its memory because many peers write slowly, stop in a message, or send
// messages that cost much, and against usual clients without an answer meanwhile.
func TestMemoryStaysWithinItsLimit(t *testing.T) {
	const clients = 330 // a third of the descriptors, but for the usual clients
	largeFrame := (&testClient{}).callFrame("safe", "00000000000000a1", string(make([]byte, 16<<10)), time.Second)
	tooLongFrame := binary.BigEndian.AppendUint32(nil, 20<<10)
	for _, test := range []struct {
		name     string
		webhooks bool
		count    int
		use      func(net.Conn, chan struct{})
	}{
		{"requests without their last byte", false, clients, holdAfter(largeFrame[:len(largeFrame)-1])},
		{"a frame in small pieces", false, clients, repeat(append(tooLongFrame, 0, 0, 0), 2*time.Millisecond)},
		{"calls with many short fields", false, 80, repeat(manyFieldsFrame(), 0)},
		{"heads of webhooks with many short fields", true, clients, holdAfter(webhookHead())},
		{"bodies of webhooks without their last byte", true, clients, holdAfter(webhookBody())},
		{"heads of webhooks at full speed", true, 80, repeat(webhookHead(), 0)},
	} {
		t.Run(test.name, func(t *testing.T) {
			expectBoundedMemory(t, startEchoWorker(t, nil), test.webhooks, func(h *harness, webhookAddress string) func() {
				address := h.listen
				if test.webhooks {
					address = webhookAddress
				}
				return startPeers(address, test.count, test.use).stop
			})
		})
	}
}

// expectBoundedMemory runs a router with little memory, one worker and usual clients, and checks its memory and the
// clients' answers. disturb starts what disturbs the router, and returns a function that ends it.
func expectBoundedMemory(
	t *testing.T, worker *fakeWorker, webhooks bool, disturb func(h *harness, webhookAddress string) (stop func()),
) {
	t.Helper()
	webhookAddress := ""
	if webhooks {
		webhookAddress = enableWebhooks(t)
	}
	small := func(text string) string {
		limits := fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, smallMemoryMB, manySockets)
		return strings.Replace(text, `"memory_mb":192,"sockets":1024`, limits, 1)
	}
	h, process := startPinnedProcess(t, small, listedWorker{name: "s-1", addr: worker.addr})
	load := &clientLoad{t: t, address: h.listen, wait: time.Second, classes: []string{"safe", "unsafe"}}
	load.start(3, 1)
	stop := disturb(h, webhookAddress)
	time.Sleep(3 * time.Second) // longer than a connection with a part of a message stays open
	stop()
	reportLost(t, load.stop())
	peak := peakMemory(t, process)
	t.Logf("peak memory %.1f MB; %d calls answered, %d served", float64(peak)/(1<<20), load.answered.Load(), load.served.Load())
	if peak > smallMemoryMB<<20 && !raceDetectorEnabled {
		t.Errorf("the process held %d bytes, want at most %d MB", peak, smallMemoryMB)
	}
	if load.served.Load() == 0 {
		t.Error("no call was served")
	}
}

// startFloodingWorker starts a worker that answers each request, and also writes the given bytes on each of its
// connections until the connection ends.
func startFloodingWorker(t *testing.T, b []byte, pause time.Duration) *fakeWorker {
	t.Helper()
	w := newListeningWorker(t)
	w.startAccepting()
	go func() {
		flooded := map[net.Conn]bool{}
		for r := range w.requests {
			r.respond("HIT", r.body)
			if flooded[r.conn] {
				continue
			}
			flooded[r.conn] = true
			go repeat(b, pause)(r.conn, make(chan struct{}))
		}
	}()
	return w
}

// Guards against a process that is killed for its memory, or whose answers are late, because its workers write without
// end: answers that no request awaits, answers that never end, and bytes that come slowly.
func TestMemoryStaysWithinItsLimitBesideBadWorkers(t *testing.T) {
	unknown := workerRequest{id: "ffffffffffffffff"}.reply("HIT", "unknown")
	for _, test := range []struct {
		name  string
		bytes string
		pause time.Duration
	}{
		{"answers that no request awaits", strings.Repeat(unknown, 500), 0},
		{"an answer that does not end", "*4\r\n$3000000000\r\n" + strings.Repeat("x", 32<<10), 0},
		{"single bytes", "*", time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			worker := startFloodingWorker(t, []byte(test.bytes), test.pause)
			expectBoundedMemory(t, worker, false, func(*harness, string) func() { return func() {} })
		})
	}
}

// Guards against a process that is killed for its memory because a directory answers without end.
func TestMemoryStaysWithinItsLimitBesideABadDirectory(t *testing.T) {
	worker := startEchoWorker(t, nil)
	expectBoundedMemory(t, worker, false, func(h *harness, _ string) func() {
		stopped := make(chan struct{})
		var running sync.WaitGroup
		running.Go(func() {
			query := h.directory.nextQuery()
			random := rand.New(rand.NewPCG(1, 1))
			packet := make([]byte, 8000)
			copy(packet, query.packet)
			packet[2] |= dnsResponseFlag
			for !isClosed(stopped) {
				for i := dnsAnswerCount; i < 1000; i++ {
					packet[i] = byte(random.Uint32())
				}
				_, _ = h.directory.WriteTo(packet, query.from)
			}
		})
		return func() {
			close(stopped)
			running.Wait()
		}
	})
}
