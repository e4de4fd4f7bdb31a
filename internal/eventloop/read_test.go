package eventloop

import (
	"bytes"
	"errors"
	"io"
	"syscall"
	"testing"
	"time"
)

// recordingHandler sends what it receives to a channel, in order, and closeRecord for the close.
type recordingHandler struct{ received chan string }

const closeRecord = "closed"

func (h *recordingHandler) OnData(b []byte) { h.received <- string(b) }

func (h *recordingHandler) OnClose(error) { h.received <- closeRecord }

func (h *recordingHandler) OnEndOfInput() {}

func (h *recordingHandler) HasOpenRequests() bool { return false }

func (h *recordingHandler) MessageProgress() (int, bool) { return 1, false }

// next waits for the next record of h and returns it.
func (h *recordingHandler) next(t *testing.T) string {
	t.Helper()
	select {
	case received := <-h.received:
		return received
	case <-time.After(testTimeout):
		t.Fatal("the handler received nothing within testTimeout")
		return ""
	}
}

// Guards the order of data and close. While the loop is busy, it reads no connection. If peers close their connections
// in the meantime, the closes must be reported when the loop continues. The close of a connection with data of many parts
// must be reported after all that data.
func TestCloseIsReportedAfterItsData(t *testing.T) {
	handlers := []*recordingHandler{{make(chan string, 1000)}, {make(chan string, 1000)}}
	accepted := make(chan struct{})
	count := 0
	l := startLoop(t, 10, func(*Conn) AcceptedHandler {
		h := handlers[count]
		count++
		accepted <- struct{}{}
		return h
	})
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
	text := bytes.Repeat([]byte("x"), 5*readBufferSize)
	written := make(chan error, 1)
	go func() { // Write may block until the loop reads
		_, err := sender.Write(text)
		written <- errors.Join(err, sender.Close())
	}()
	requireNoError(t, silent.Close())
	close(unblock)

	size := 0
	for received := ""; received != closeRecord; {
		received = handlers[0].next(t)
		if received != closeRecord {
			size += len(received)
		}
	}
	requireNoError(t, <-written)
	if size != len(text) {
		t.Errorf("the close was reported after %d bytes, want %d", size, len(text))
	}
	if received := handlers[1].next(t); received != closeRecord {
		t.Errorf("the handler of the silent connection got %q, want only the close", received)
	}
}

// A client that has ended its direction (sent a FIN) must still get its answer before the connection ends. Without an
// open request, the connection must end at once.
func TestHalfClosedClientIsAnswered(t *testing.T) {
	for _, hasOpenRequest := range []bool{true, false} {
		h := &echoHandler{openRequests: hasOpenRequest, closed: make(chan error, 1), inputEnded: make(chan struct{}, 1)}
		l := startLoop(t, 10, func(c *Conn) AcceptedHandler {
			h.conn = c
			return h
		})
		client := dialLoop(t, l)
		requireNoError(t, client.CloseWrite())
		<-h.inputEnded
		if hasOpenRequest {
			l.Post(func() {
				h.conn.Write([]byte("answer"))
				h.openRequests = false
			})
		}
		got, err := io.ReadAll(client)
		if err != nil || hasOpenRequest && string(got) != "answer" {
			t.Errorf("open request %v: the client read %q, error %v; want no error, and %q if a request is open",
				hasOpenRequest, got, err, "answer")
		}
		if err := <-h.closed; !errors.Is(err, io.EOF) {
			t.Errorf("OnClose got %v, want EOF", err)
		}
	}
}

// A half-closed connection waits for an answer and is not read. If the client resets it, OnClose must still report the
// reset.
func TestResetOfHalfClosedConnectionIsReported(t *testing.T) {
	h := &echoHandler{openRequests: true, closed: make(chan error, 1), inputEnded: make(chan struct{}, 1)}
	l := startLoop(t, 10, func(*Conn) AcceptedHandler { return h })
	client := dialLoop(t, l)
	requireNoError(t, client.CloseWrite())
	<-h.inputEnded
	requireNoError(t, client.SetLinger(0))
	requireNoError(t, client.Close())
	if err := <-h.closed; !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Errorf("OnClose got %v, want ECONNRESET or EPIPE", err)
	}
}

// turnRecorder records the times of the turns in which a client's data and the end of its input were handled.
type turnRecorder struct {
	echoHandler
	loop         *Loop
	dataAt       time.Duration
	endOfInputAt chan time.Duration
}

func (h *turnRecorder) OnData([]byte) { h.dataAt = h.loop.now }

func (h *turnRecorder) OnEndOfInput() { h.endOfInputAt <- h.loop.now }

// Guards against forwarding the request of a client that has disconnected. If a client sends a request and disconnects
// while the machine pauses the process, the loop must handle both in one turn.
func TestDataAndEndOfInputAreHandledInSameTurn(t *testing.T) {
	h := &turnRecorder{echoHandler: echoHandler{closed: make(chan error, 1)}, endOfInputAt: make(chan time.Duration, 1)}
	accepted := make(chan struct{})
	l := startLoop(t, 10, func(c *Conn) AcceptedHandler {
		h.loop = c.loop
		close(accepted)
		return h
	})
	client := dialLoop(t, l)
	<-accepted
	runOnLoop(l, func() {
		_, err := client.Write([]byte("request"))
		if err := errors.Join(err, client.CloseWrite()); err != nil {
			t.Error(err)
		}
	})
	if endOfInputAt := <-h.endOfInputAt; endOfInputAt != h.dataAt {
		t.Errorf("the data was handled at %v, the end of input at %v; want the same turn", h.dataAt, endOfInputAt)
	}
}
