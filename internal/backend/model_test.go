package backend

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"functionrouter/internal/router"
	"functionrouter/policy"
)

// TestAttemptsEndOnceWithCorrectOutcome applies random sequences of events to one worker's connections. Every attempt
// must end at most once, as ConnectionReset only if it was written, and never by an answer to an earlier, cancelled
// attempt of the same request.
func TestAttemptsEndOnceWithCorrectOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &attemptModel{
			testPool:    newTestPool(),
			dialEnded:   map[*fakeTransport]bool{},
			lateAnswers: map[*fakeTransport]map[string]int{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"cancel and retry": m.cancelAndRetry,
			"dial ends":        m.endDial,
			"drain":            m.drain,
			"reset":            m.reset,
			"start":            m.startNext,
			"":                 m.check,
		})
	})
}

// attemptModel is a pool and a record of the events that the test has applied to it.
type attemptModel struct {
	*testPool
	lastRequest int
	started     []router.AttemptID                // attempts that were not cancelled
	dialEnded   map[*fakeTransport]bool           // transports whose dial has ended
	lateAnswers map[*fakeTransport]map[string]int // number of late answers by wire ID
}

func requestID(a router.AttemptID) string { return hexID(int(a.Request)) }

// written reports whether an attempt of a's request has been written to any connection.
func (m *attemptModel) written(a router.AttemptID) bool {
	return slices.ContainsFunc(m.transports, func(f *fakeTransport) bool { return f.wrote(requestID(a)) })
}

func (m *attemptModel) startNext(*rapid.T) {
	m.lastRequest++
	a := firstAttempt(m.lastRequest)
	m.start(a, requestID(a))
	m.started = append(m.started, a)
}

// cancelAndRetry cancels an attempt and sends the request to the same worker again with the same wire ID. Then the
// answers to the earlier attempts arrive.
func (m *attemptModel) cancelAndRetry(t *rapid.T) {
	if len(m.started) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.started)-1).Draw(t, "i")
	a := m.started[i]
	if len(m.recorder.attempts[a]) > 0 {
		return
	}
	awaiting := m.transportsAwaitingAnswer(requestID(a))
	m.CancelAttempt(workerID, a)
	m.started = slices.Delete(m.started, i, i+1)
	retry := router.AttemptID{Request: a.Request, Number: a.Number + 1}
	m.start(retry, requestID(retry))
	m.started = append(m.started, retry)
	for _, transport := range awaiting {
		if !transport.Closed {
			m.sendLateAnswer(transport, requestID(retry))
		}
	}
	if m.recorder.bodies[retry] == "old" {
		t.Fatal("the answer to an earlier attempt ended the retry")
	}
}

// transportsAwaitingAnswer returns the transports on which more attempts with this wire ID were written than late
// answers were delivered.
func (m *attemptModel) transportsAwaitingAnswer(id string) (awaiting []*fakeTransport) {
	for _, transport := range m.transports {
		if transport.attemptsWritten(id) > m.lateAnswers[transport][id] {
			awaiting = append(awaiting, transport)
		}
	}
	return awaiting
}

func (m *attemptModel) sendLateAnswer(transport *fakeTransport, id string) {
	if m.lateAnswers[transport] == nil {
		m.lateAnswers[transport] = map[string]int{}
	}
	m.lateAnswers[transport][id]++
	transport.handler.OnData(encodeAnswer(id, "HIT", "old"))
}

func (m *attemptModel) endDial(t *rapid.T) {
	for _, transport := range m.transports {
		if m.dialEnded[transport] || transport.Closed {
			continue
		}
		m.dialEnded[transport] = true
		if rapid.Bool().Draw(t, "fails") {
			transport.Closed = true
			transport.handler.OnOpen(errors.New("refused"))
		} else {
			transport.handler.OnOpen(nil)
		}
		return
	}
}

func (m *attemptModel) reset(*rapid.T) {
	for _, transport := range m.transports {
		if m.dialEnded[transport] && !transport.Closed {
			transport.Closed = true
			transport.handler.OnClose(errors.New("reset"))
			return
		}
	}
}

// drain sets the worker's state to Draining, checks that all queued attempts end immediately, and sets it back to
// Ready.
func (m *attemptModel) drain(t *rapid.T) {
	m.UpdateEndpoint(workerID, workerAddress, policy.Draining, 0)
	for _, a := range m.started {
		if len(m.recorder.attempts[a]) == 0 && !m.written(a) {
			t.Fatalf("%v is still queued although its worker is draining", a)
		}
	}
	m.UpdateEndpoint(workerID, workerAddress, policy.Ready, 0)
}

func (m *attemptModel) check(t *rapid.T) {
	for _, transport := range m.transports {
		text := transport.Written.String()
		if strings.Count(text, "STOP\r\n") > strings.Count(text, "RUN\r\n") {
			t.Fatalf("wrote more cancel commands than attempts: %q", text)
		}
	}
	for a, ended := range m.recorder.attempts {
		if len(ended) != 1 {
			t.Fatalf("%v ended with %v, want one outcome", a, ended)
		}
		if ended[0] == policy.ConnectionReset && !m.written(a) {
			t.Fatalf("%v was never written but ended with %v", a, ended[0])
		}
	}
}
