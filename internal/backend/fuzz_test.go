package backend

import (
	"testing"
)

// Checks that for any bytes from a worker, split in any way, the pool does not panic, and that the attempt has ended
// exactly once after the connection has closed.
func FuzzAnswers(f *testing.F) {
	id := hexID(0xa1)
	f.Add(encodeAnswer(id, "HIT", "body"), uint8(5))
	f.Add(append(encodeAnswer(id, "NONE", ""), encodeAnswer(id, "HIT", "late")...), uint8(200))
	f.Add([]byte("*4\r\n$16\r\n"+id+"\r\n$3\r\nHIT\r\n$1\r\n-\r\n$99999999\r\n"), uint8(0))
	f.Fuzz(func(t *testing.T, input []byte, pieceSize uint8) {
		p := newTestPool()
		a := firstAttempt(1)
		transport := p.startOnOpenConnection(a, id)
		for rest := input; len(rest) > 0 && !transport.Closed; {
			size := min(len(rest), int(pieceSize)+1)
			transport.handler.OnData(rest[:size])
			rest = rest[size:]
		}
		transport.handler.OnClose(nil)
		if ended := p.recorder.attempts[a]; len(ended) != 1 {
			t.Errorf("the attempt ended with %v, want one outcome", ended)
		}
	})
}
