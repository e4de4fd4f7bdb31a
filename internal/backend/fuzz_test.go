package backend

import (
	"testing"
)

// Whatever a worker sends, in whatever pieces, the pool does not panic, ends each attempt at most once, and ends all once
// the connection has closed.
func FuzzAnswers(f *testing.F) {
	id := hexID(0xa1)
	f.Add(encodeAnswer(id, "HIT", "body"), uint8(5))
	f.Add(append(encodeAnswer(id, "NONE", ""), encodeAnswer(id, "HIT", "late")...), uint8(200))
	f.Add([]byte("*4\r\n$16\r\n"+id+"\r\n$3\r\nHIT\r\n$1\r\n-\r\n$99999999\r\n"), uint8(0))
	f.Fuzz(func(t *testing.T, input []byte, pieceSize uint8) {
		p := newTestPool()
		a := attemptID(1)
		transport := p.startOpen(a, id)
		for rest := input; len(rest) > 0 && !transport.Closed; {
			size := min(len(rest), int(pieceSize)+1)
			transport.handler.OnData(rest[:size])
			rest = rest[size:]
		}
		transport.handler.OnClose(nil)
		if ended := p.results.attempts[a]; len(ended) != 1 {
			t.Errorf("the attempt ended with %v", ended)
		}
	})
}
