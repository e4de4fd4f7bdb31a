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

// TestAttemptsEndOnceWithTheTrueOutcome plays random sequences of events on one worker's connections: every attempt
// ends at most once, as reset only if it was written, and never by an answer to an earlier attempt of the same request
// that was cancelled.
func TestAttemptsEndOnceWithTheTrueOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &attemptModel{
			testPool: newTestPool(),
			dialed:   map[*fakeTransport]bool{},
			answered: map[*fakeTransport]map[string]int{},
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

// attemptModel is a pool and a record of the events that the test has played on it.
type attemptModel struct {
	*testPool
	lastRequest int
	started     []router.AttemptID                // attempts that were not cancelled
	dialed      map[*fakeTransport]bool           // dials that have ended
	answered    map[*fakeTransport]map[string]int // late answers, by id
}

func idOf(a router.AttemptID) string { return hexID(int(a.Request)) }

// written reports whether an attempt of a's request has been written to any connection.
func (m *attemptModel) written(a router.AttemptID) bool {
	return slices.ContainsFunc(m.transports, func(f *fakeTransport) bool { return f.wrote(idOf(a)) })
}

func (m *attemptModel) startNext(*rapid.T) {
	m.lastRequest++
	a := attemptID(m.lastRequest)
	m.start(a, idOf(a))
	m.started = append(m.started, a)
}

// cancelAndRetry cancels an attempt and sends the request to the same worker again under the same id. Then
// the answers to the earlier attempts arrive.
func (m *attemptModel) cancelAndRetry(t *rapid.T) {
	if len(m.started) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.started)-1).Draw(t, "i")
	a := m.started[i]
	if len(m.results.attempts[a]) > 0 {
		return
	}
	owing := m.transportsOwing(idOf(a))
	m.CancelAttempt(workerID, a)
	m.started = slices.Delete(m.started, i, i+1)
	b := router.AttemptID{Request: a.Request, Number: a.Number + 1}
	m.start(b, idOf(b))
	m.started = append(m.started, b)
	for _, transport := range owing {
		if !transport.Closed {
			m.answerLate(transport, idOf(b))
		}
	}
	if m.results.bodies[b] == "old" {
		t.Fatal("the answer to the first attempt ended the second")
	}
}

// transportsOwing returns the transports on which an answer to an attempt with this id is due.
func (m *attemptModel) transportsOwing(id string) (owing []*fakeTransport) {
	for _, transport := range m.transports {
		if transport.attemptsWritten(id) > m.answered[transport][id] {
			owing = append(owing, transport)
		}
	}
	return owing
}

func (m *attemptModel) answerLate(transport *fakeTransport, id string) {
	if m.answered[transport] == nil {
		m.answered[transport] = map[string]int{}
	}
	m.answered[transport][id]++
	transport.handler.OnData(encodeAnswer(id, "HIT", "old"))
}

func (m *attemptModel) endDial(t *rapid.T) {
	for _, transport := range m.transports {
		if m.dialed[transport] || transport.Closed {
			continue
		}
		m.dialed[transport] = true
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
		if m.dialed[transport] && !transport.Closed {
			transport.Closed = true
			transport.handler.OnClose(errors.New("reset"))
			return
		}
	}
}

// drain checks that the attempts that wait for a dial to a draining worker end unsent at once.
func (m *attemptModel) drain(t *rapid.T) {
	m.UpdateEndpoint(workerID, workerAddress, policy.Draining, 0)
	for _, a := range m.started {
		if len(m.results.attempts[a]) == 0 && !m.written(a) {
			t.Fatalf("%v still waits to be sent to a draining worker", a)
		}
	}
	m.UpdateEndpoint(workerID, workerAddress, policy.Ready, 0)
}

func (m *attemptModel) check(t *rapid.T) {
	for _, transport := range m.transports {
		text := transport.Written.String()
		if strings.Count(text, "STOP\r\n") > strings.Count(text, "RUN\r\n") {
			t.Fatalf("cancelled what was never sent: %q", text)
		}
	}
	for a, ended := range m.results.attempts {
		if len(ended) != 1 {
			t.Fatalf("%v ended %v", a, ended)
		}
		if ended[0] == policy.ConnectionReset && !m.written(a) {
			t.Fatalf("%v was never written but counts as reset", a)
		}
	}
}
