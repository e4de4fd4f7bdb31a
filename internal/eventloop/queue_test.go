package eventloop

import (
	"bytes"
	"testing"
	"time"
)

func TestEventKindString(t *testing.T) {
	for kind, want := range map[eventKind]string{
		eventData:     "data",
		eventAccepted: "accepted",
		eventClosed:   "closed",
		eventDialed:   "dialed",
		eventCall:     "call",
		eventCall + 1: "eventKind(5)",
	} {
		if got := kind.String(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// Guards the descriptors: while the loop is busy no more than a few connections are accepted.
func TestAcceptingWaitsForTheLoop(t *testing.T) {
	l := New(Config{})
	pushed := make(chan int, 100)
	go func() {
		for i := range 3 * maxPendingAccepts {
			l.events.push(event{kind: eventAccepted, conn: &Conn{loop: l}})
			pushed <- i
		}
		close(pushed)
	}()
	for range maxPendingAccepts {
		<-pushed
	}
	turns, mostPending := 0, 0
	for open := true; open; turns++ { // each turn takes what is queued, and lets as many in
		batch, _ := l.events.take(nil)
		mostPending = max(mostPending, len(batch))
		_, open = <-pushed
	}
	if mostPending > maxPendingAccepts || turns < 2 {
		t.Errorf("%d connections waited at once, %d turns", mostPending, turns)
	}
}

// recordingHandler passes on what it receives, in order.
type recordingHandler struct{ received chan string }

const closeRecord = "closed"

func (h *recordingHandler) OnData(b []byte)              { h.received <- string(b) }
func (h *recordingHandler) OnClose(error)                { h.received <- closeRecord }
func (h *recordingHandler) HasOpenRequests() bool        { return false }
func (h *recordingHandler) MessageProgress() (int, bool) { return 1, false }

// next returns what h received next.
func (h *recordingHandler) next(t *testing.T) string {
	t.Helper()
	select {
	case received := <-h.received:
		return received
	case <-time.After(testTimeout):
		t.Fatal("nothing was received in time")
		return ""
	}
}

// While too much is queued no connection is read. A close in the meantime, of the connection that filled
// the queue or of another, is reported as soon as the loop goes on, behind what was sent before it.
func TestCloseIsReportedBehindBackPressure(t *testing.T) {
	handlers := []*recordingHandler{{make(chan string, 1000)}, {make(chan string, 1000)}}
	accepted := make(chan struct{})
	count := 0
	l := New(Config{MaxAcceptedConnections: 10, MaxFileDescriptors: 256, MaxQueuedBytes: 10, MaxUnreadBytes: 1 << 20})
	l.Listen("127.0.0.1:0", func(*Conn) AcceptedHandler {
		h := handlers[count]
		count++
		accepted <- struct{}{}
		return h
	})
	runLoop(t, l)
	sender := dialLoop(t, l)
	<-accepted
	silent := dialLoop(t, l)
	<-accepted

	blocked := make(chan struct{})
	unblock := make(chan struct{})
	l.Post(func() {
		close(blocked)
		<-unblock
	})
	<-blocked
	text := bytes.Repeat([]byte("x"), 3*readBufferSize) // more than one read takes, so that the second one waits
	write(t, sender, text)
	check(t, sender.Close())
	check(t, silent.Close())
	waitUntilFull(l.events)
	close(unblock)

	size := 0
	for received := ""; received != closeRecord; {
		received = handlers[0].next(t)
		if received != closeRecord {
			size += len(received)
		}
	}
	if size != len(text) {
		t.Errorf("the close was reported after %d bytes of %d", size, len(text))
	}
	if received := handlers[1].next(t); received != closeRecord {
		t.Errorf("the silent connection received %q", received)
	}
}

// waitUntilFull waits until the poller blocks, or would, on the next data.
func waitUntilFull(q *eventQueue) {
	for full := false; !full; {
		q.mu.Lock()
		full = q.queuedBytes > q.maxBytes
		q.mu.Unlock()
	}
}
