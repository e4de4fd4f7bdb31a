package thrift

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"functionrouter/internal/router"
	"functionrouter/internal/testsupport"
)

// connectionModel performs random actions on a connection and tracks the state that the connection must have.
type connectionModel struct {
	connection     *connection
	router         *fakeRouter
	transport      *testsupport.Transport
	lastSequenceID uint32
	open           map[uint32]int // index of each open call's request in router.submitted, by sequence ID
}

// Guards against a call that is lost because its frame arrives in several reads, against an open call with no reply or
// more than one, and against a reply to an interrupted call.
func TestConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &connectionModel{open: map[uint32]int{}}
		m.connection, m.router, m.transport = newTestConnection()
		t.Repeat(map[string]func(*rapid.T){
			"call":      m.call,
			"answer":    m.answer,
			"interrupt": m.interrupt,
			"bad field": m.callWithInvalidField,
			"check":     m.check,
			"":          m.checkInvariants,
		})
	})
}

// feed passes the bytes to the connection in pieces of random sizes.
func (m *connectionModel) feed(t *rapid.T, b []byte) {
	for len(b) > 0 {
		n := rapid.IntRange(1, len(b)).Draw(t, "size")
		m.connection.OnData(bytes.Clone(b[:n]))
		b = b[n:]
	}
}

// drawOpenCall returns the sequence ID of a random open call. It returns false if no call is open.
func (m *connectionModel) drawOpenCall(t *rapid.T) (sequenceID uint32, found bool) {
	if len(m.open) == 0 {
		return 0, false
	}
	sequenceID = rapid.Uint32Range(1, m.lastSequenceID).Draw(t, "sequence ID")
	for {
		if _, open := m.open[sequenceID]; open {
			return sequenceID, true
		}
		sequenceID = sequenceID%m.lastSequenceID + 1
	}
}

func (m *connectionModel) call(t *rapid.T) {
	if len(m.open) == maxOpenCalls {
		return
	}
	m.lastSequenceID++
	m.feed(t, executeFrame(m.lastSequenceID, "body", validFields...))
	position := len(m.router.submitted) - 1
	m.open[m.lastSequenceID] = position
	r := m.router.submitted[position]
	if r.Class != 1 || r.ID != "9b1f03aa5c7e2d41" || r.Function != 0x7f3a9c21e0b4d655 || string(r.Body) != "body" ||
		r.Concurrency != 2 || r.MemoryMB != 512 || r.LoadTime != 640*time.Millisecond ||
		r.Deadline != testNow+1460*time.Millisecond {
		t.Fatalf("submitted %+v, want the fields of validFields, the body \"body\" and the deadline %v",
			r, testNow+1460*time.Millisecond)
	}
}

func (m *connectionModel) answer(t *rapid.T) {
	sequenceID, found := m.drawOpenCall(t)
	if !found {
		return
	}
	status := router.Status(rapid.IntRange(0, 2).Draw(t, "status"))
	response := router.Response{Status: status, Body: []byte("x"), RetryAfter: 1}
	responder := m.router.submitted[m.open[sequenceID]].Responder
	responder.Respond(response)
	responder.Respond(response) // the connection must not write a second reply
	delete(m.open, sequenceID)
	if got, field := readReply(t, m.transport); got != sequenceID || field != uint16(status) {
		t.Fatalf("the reply to sequence ID %d has result field %d, want field %d and sequence ID %d",
			got, field, status, sequenceID)
	}
}

func (m *connectionModel) interrupt(t *rapid.T) {
	sequenceID, found := m.drawOpenCall(t)
	if !found {
		return
	}
	m.feed(t, interruptFrame(sequenceID))
	position := m.open[sequenceID]
	cancelled := m.router.cancelled
	if len(cancelled) == 0 || int(cancelled[len(cancelled)-1]) != position+1 {
		t.Fatalf("cancelled requests %v, want %d as the last one", cancelled, position+1)
	}
	m.router.submitted[position].Responder.Respond(router.Response{}) // the connection must not write a reply
	delete(m.open, sequenceID)
}

// callWithInvalidField sends an execute call with an invalid field, to which the connection must reply at once with a
// Lost.
func (m *connectionModel) callWithInvalidField(t *rapid.T) {
	positions := []int{classValue, idValue, waitValue, keyValue, propertiesValue}
	position := rapid.SampledFrom(positions).Draw(t, "field")
	m.lastSequenceID++
	m.feed(t, executeFrame(m.lastSequenceID, "", fieldsWith(position, "nonsense")...))
	if got, field := readReply(t, m.transport); got != m.lastSequenceID || field != resultLostField {
		t.Fatalf("the reply to sequence ID %d has result field %d, want field %d and sequence ID %d",
			got, field, resultLostField, m.lastSequenceID)
	}
}

func (m *connectionModel) check(t *rapid.T) {
	m.feed(t, checkFrame(7))
	if got, field := readReply(t, m.transport); got != 7 || field != resultSuccessField {
		t.Fatalf("the reply to sequence ID %d has result field %d, want field %d and sequence ID 7",
			got, field, resultSuccessField)
	}
}

// checkInvariants fails the test if the connection has written an unexpected reply, is closed, or reports open calls
// when the model has none, or the reverse.
func (m *connectionModel) checkInvariants(t *rapid.T) {
	if m.transport.Written.Len() > 0 || m.transport.Closed || m.connection.HasOpenRequests() != (len(m.open) > 0) {
		t.Fatalf("wrote %x, want nothing; connection closed: %v, want false; open requests: %v, want true only for open calls: %d",
			m.transport.Written.Bytes(), m.transport.Closed, m.connection.HasOpenRequests(), len(m.open))
	}
}
