package backend

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"functionrouter/policy"
)

// Checks the bytes of a command, and that an answer is decoded correctly however it is split into reads.
func TestAnswerSplitAcrossReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPool()
		a := firstAttempt(1)
		transport := p.startOnOpenConnection(a, "0123456789abcdef")
		want := "*4\r\n$3\r\nRUN\r\n$16\r\n0123456789abcdef\r\n" +
			"$49\r\nqueue=dim-level,path=00000000000000aa,budget=1000\r\n$5\r\nhello\r\n"
		if got := transport.Written.String(); got != want {
			t.Fatalf("wrote %q, want %q", got, want)
		}
		body := rapid.StringN(0, 200, 400).Draw(t, "body")
		text := fmt.Sprintf("*4\r\n$16\r\n0123456789abcdef\r\n$3\r\nHIT\r\n"+
			"$29\r\ndetail=hot,use=inflight:7;x:1\r\n$%d\r\n%s\r\n", len(body), body)
		for len(text) > 0 {
			n := rapid.IntRange(1, len(text)).Draw(t, "n")
			transport.handler.OnData([]byte(text[:n]))
			text = text[n:]
		}
		if ended := p.recorder.attempts[a]; !slices.Equal(ended, []policy.Outcome{policy.Served}) {
			t.Fatalf("the attempt ended with %v, want [%v]", ended, policy.Served)
		}
		if got := p.recorder.bodies[a]; got != body || transport.Closed {
			t.Fatalf("got body %q, want %q; connection closed: %v, want false", got, body, transport.Closed)
		}
	})
}

// Guards against a panic on invalid input, and against buffering a bulk string whose length exceeds the limit: the
// connection must be closed as soon as the length has arrived.
func TestArbitraryBytesDoNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPool()
		p.CheckHealth(workerID, 1)
		transport := p.lastTransport()
		transport.handler.OnOpen(nil)
		pieces := rapid.SampledFrom([]string{
			"*", "4", "\r\n", "$", "2", "99999999999", "p1", "PONG", "-", "HIT", "\x00", "*2\r\n",
		})
		transport.handler.OnData([]byte(strings.Join(rapid.SliceOfN(pieces, 0, 30).Draw(t, "bits"), "")))
	})
	p := newTestPool()
	p.CheckHealth(workerID, 1)
	transport := p.lastTransport()
	transport.handler.OnOpen(nil)
	transport.handler.OnData([]byte("*4\r\n$16449\r\n"))
	if !transport.Closed {
		t.Errorf("the connection stayed open after the length 16449, want it closed above %d", maxBulkSize)
	}
}

func TestDecodeArrayRejectsMalformedArrays(t *testing.T) {
	for name, text := range map[string]string{
		"not an array":           "+OK\r\n",
		"integer element":        "*1\r\n:5\r\n",
		"no number":              "*\r\n",
		"not a number":           "*x\r\n",
		"negative number":        "*-1\r\n",
		"no carriage return":     "*12\n",
		"length line too long":   "*00000000000",
		"too many elements":      "*5\r\n",
		"leading zero":           "*1\r\n$01\r\nx\r\n",
		"bulk string too long":   fmt.Sprintf("*1\r\n$%d\r\n", maxBulkSize+1),
		"no CRLF after a string": "*1\r\n$1\r\nxyz",
		"array too long": fmt.Sprintf("*2\r\n$%d\r\n%s\r\n$%d\r\n",
			maxBulkSize, strings.Repeat("x", maxBulkSize), maxBulkSize),
	} {
		t.Run(name, func(t *testing.T) {
			elements, size, err := decodeArray([]byte(text), nil)
			if !errors.Is(err, errMalformedAnswer) || elements != nil || size != 0 {
				t.Errorf("got %d elements, size %d and error %v, want 0, 0 and %v",
					len(elements), size, err, errMalformedAnswer)
			}
		})
	}
}

func TestEncodedCommandIsDecodable(t *testing.T) {
	text := encodeCommand("HOLD", "h1", "")
	for n := range text {
		if elements, size, err := decodeArray(text[:n], nil); elements != nil || size != 0 || err != nil {
			t.Fatalf("first %d bytes: got %d elements, size %d and error %v, want an incomplete array",
				n, len(elements), size, err)
		}
	}
	elements, size, err := decodeArray(append(text, '*'), nil)
	if err != nil || size != len(text) {
		t.Fatalf("got size %d and error %v, want size %d and no error", size, err, len(text))
	}
	if got := fmt.Sprintf("%q", elements); got != `["HOLD" "h1" ""]` {
		t.Errorf(`got %s, want ["HOLD" "h1" ""]`, got)
	}
}

// Guards against copying a partial answer into a new buffer for each received byte, which would allocate once per byte.
// A buffer that doubles its capacity needs far fewer than 60 allocations.
func TestPartialAnswerIsNotCopiedForEachByte(t *testing.T) {
	p := newTestPool()
	a := firstAttempt(1)
	transport := p.startOnOpenConnection(a, hexID(0xa1))
	complete := encodeAnswer(hexID(0xa1), "HIT", strings.Repeat("x", maxBulkSize-64))
	allocs := testing.AllocsPerRun(1, func() {
		for i := range complete {
			transport.handler.OnData(complete[i : i+1])
		}
	})
	if ended := p.recorder.attempts[a]; len(ended) != 1 || allocs > 60 {
		t.Errorf("the attempt ended with %v, want one outcome; %v allocations for %d bytes, want at most 60",
			ended, allocs, len(complete))
	}
}

// Guards against waiting without limit for the rest of an answer on an open connection. The worker sends a few bytes at
// a time and does not complete the answer within partialAnswerTimeout.
func TestStalledAnswerClosesItsConnection(t *testing.T) {
	logged := captureLog(t)
	p := newTestPool()
	a := firstAttempt(1)
	transport := p.startOnOpenConnection(a, hexID(0xa1))
	rest := encodeAnswer(hexID(0xa1), "HIT", strings.Repeat("x", 1000))
	for i := range int(partialAnswerTimeout/SweepInterval) + 2 {
		p.Sweep(time.Hour + time.Duration(i)*SweepInterval)
		if !transport.Closed {
			transport.handler.OnData(rest[:3])
			rest = rest[3:]
		}
	}
	if !transport.Closed {
		t.Fatal("the connection with an incomplete answer is still open")
	}
	if err := logged.lastCloseError(); !errors.Is(err, errStalledAnswer) {
		t.Errorf("logged error %v, want %v", err, errStalledAnswer)
	}
	transport.handler.OnData(rest) // bytes after the close must be ignored
	if ended := p.recorder.attempts[a]; len(ended) != 0 {
		t.Errorf("bytes after the close ended the attempt with %v, want no outcome", ended)
	}
	p.start(firstAttempt(2), hexID(0xb2))
	if len(p.transports) != 2 {
		t.Errorf("%d connections, want 2: a new attempt needs a new connection", len(p.transports))
	}
}
