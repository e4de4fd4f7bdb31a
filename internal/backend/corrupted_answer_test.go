package backend

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"functionrouter/policy"
)

// Guards against serving a client an empty body or a part of a body: a worker's answer whose array length is corrupted
// was taken for an answer with fewer elements before the rest of it was read.
func TestAnswerWithWrongArrayLengthIsNotServed(t *testing.T) {
	for _, length := range []int{0, 1, 2, 3, 5, 8} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			p := newTestPool()
			a := firstAttempt(1)
			transport := p.startOnOpenConnection(a, hexID(0xa1))
			corrupted := bytes.Replace(encodeAnswer(hexID(0xa1), "HIT", "body"), []byte("*4"), fmt.Appendf(nil, "*%d", length), 1)
			transport.handler.OnData(corrupted)
			if !transport.Closed {
				t.Error("the connection stayed open, want it closed")
			}
			transport.handler.OnClose(nil)
			if !p.recorder.corrupted[a] {
				t.Error("the result does not say that an answer was corrupted")
			}
			if ended := p.recorder.attempts[a]; !slices.Equal(ended, []policy.Outcome{policy.ConnectionReset}) {
				t.Errorf("the attempt ended with %v and body %q, want [%v]", ended, p.recorder.bodies[a], policy.ConnectionReset)
			}
		})
	}
}

// Guards against serving a client a body that the worker did not send, because one byte before the body was corrupted,
// lost or added on the way. The bodies contain CRLF, so that a wrong length can end an answer within its body or within
// the next answer.
func TestCorruptedAnswerIsNotServedWithAnotherBody(t *testing.T) {
	for _, body := range []string{"", "body", "a\r\nb", "\r\n$1\r\nx\r\n", strings.Repeat("xy\r\n", 10)} {
		answer := encodeAnswer(hexID(0xa1), "HIT", body)
		bodyStart := len(answer) - len(body) - len(crlf)
		for position := range bodyStart {
			lost := slices.Delete(bytes.Clone(answer), position, position+1)
			checkCorruptedAnswer(t, lost, body)
			for _, other := range []byte("0123456789*$\r\n-HIT") {
				replaced := bytes.Clone(answer)
				replaced[position] = other
				checkCorruptedAnswer(t, replaced, body)
				checkCorruptedAnswer(t, slices.Insert(bytes.Clone(answer), position, other), body)
			}
		}
	}
}

// checkCorruptedAnswer checks that the pool reports no body other than body for an attempt that corrupted answers, and
// none other than its own for the next attempt on the connection, whose answer follows.
func checkCorruptedAnswer(t *testing.T, corrupted []byte, body string) {
	t.Helper()
	const nextBody = "next"
	p := newTestPool()
	attempt, next := firstAttempt(1), firstAttempt(2)
	transport := p.startOnOpenConnection(attempt, hexID(0xa1))
	p.start(next, hexID(0xb2))
	transport.handler.OnData(append(bytes.Clone(corrupted), encodeAnswer(hexID(0xb2), "HIT", nextBody)...))
	if slices.Contains(p.recorder.attempts[attempt], policy.Served) && p.recorder.bodies[attempt] != body {
		t.Errorf("answer %q: the attempt was served with %q, want %q", corrupted, p.recorder.bodies[attempt], body)
	}
	if slices.Contains(p.recorder.attempts[next], policy.Served) && p.recorder.bodies[next] != nextBody {
		t.Errorf("answer %q: the next attempt was served with %q, want %q", corrupted, p.recorder.bodies[next], nextBody)
	}
}
